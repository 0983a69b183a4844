/**
 * @defgroup error Errors
 * @brief Typed errors: the caller passes a GwError, the callee fills it in.
 *
 * A message states what is wrong and the remedy, so that an operator can act
 * on the log line alone.
 * @{
 */
#ifndef GALENAGW_BASE_ERROR_H
#define GALENAGW_BASE_ERROR_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Kind of a failure; callers decide by it what to do next. */
typedef enum {
    GW_ERROR_NONE = 0,
    GW_ERROR_USAGE,       /**< A flag or an environment variable is invalid. */
    GW_ERROR_CONFIG,      /**< The configuration document is invalid. */
    GW_ERROR_CONFLICT,    /**< Another change was committed first. */
    GW_ERROR_IO,          /**< A socket or file failed. */
    GW_ERROR_PROTOCOL,    /**< A peer violated the protocol. */
    GW_ERROR_UNAVAILABLE, /**< A service of the platform did not answer. */
    GW_ERROR_LIMIT,       /**< A configured limit was reached. */
    GW_ERROR_KINDS
} GwErrorKind;

/** Names of ::GwErrorKind, by value. */
extern const char *const GwErrorKind_Names[GW_ERROR_KINDS];

/** An error, owned by the caller; zero-initialised means "none". */
typedef struct {
    GwErrorKind kind;
    char message[512];
} GwError;

/**
 * Fill in @p err unless it is NULL. Always returns false, so that a callee can
 * write `return GwError_Set(...)`. The message must end with the remedy; it is
 * truncated to the size of GwError.message.
 */
bool GwError_Set(GwError *err, GwErrorKind kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif
/** @} */
#endif
