/**
 * @defgroup error Errors
 * @brief Typed errors that are passed down and filled by the callee.
 *
 * A message names what was wrong and the remedy, so that the person on call
 * can act on the log line alone.
 * @{
 */
#ifndef GALENAGW_BASE_ERROR_H
#define GALENAGW_BASE_ERROR_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What kind of failure happened; decides what a caller may do next. */
typedef enum {
    GW_ERROR_NONE = 0,
    GW_ERROR_USAGE,       /**< A flag or variable is wrong. */
    GW_ERROR_CONFIG,      /**< The configuration document is wrong. */
    GW_ERROR_CONFLICT,    /**< Another change won the race. */
    GW_ERROR_IO,          /**< A socket or file failed. */
    GW_ERROR_PROTOCOL,    /**< A peer sent what the protocol forbids. */
    GW_ERROR_UNAVAILABLE, /**< The platform's service did not answer. */
    GW_ERROR_LIMIT,       /**< A stated bound was reached. */
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
 * Fill @p err, when it is not NULL, and return false, so that a callee can
 * write `return GwError_Set(...)`. The message must end with the remedy.
 */
bool GwError_Set(GwError *err, GwErrorKind kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif
/** @} */
#endif
