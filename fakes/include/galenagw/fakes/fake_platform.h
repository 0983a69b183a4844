/**
 * @defgroup fake_platform Stand-in platform
 * @brief Log service and instance list over HTTP, in memory, with faults.
 *
 * Implements the protocol that docs/INTERFACES.md assumes. It also runs as a
 * process, `gw-standin platform`, whose faults are set by POST /faults.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_PLATFORM_H
#define GALENAGW_FAKES_FAKE_PLATFORM_H

#include <jansson.h>

#include "galenagw/http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How the log handles calls. */
typedef enum {
    FAKE_LOG_UP = 0,
    FAKE_LOG_DOWN, /**< answers 503; calls have no effect */
    FAKE_LOG_HANG, /**< never answers; calls have no effect */
    FAKE_LOG_MODES
} FakeLogMode;

extern const char *const FakeLogMode_Names[FAKE_LOG_MODES];

/** Faults. May be changed at any time. */
typedef struct {
    FakeLogMode mode;
    int lose_answers; /**< appends that take effect without an answer */
    int drop_appends; /**< appends that are lost without effect */
    int late_appends; /**< appends that take effect only after `late_by`,
                          without an answer */
    GwTime late_by;   /**< see late_appends */
    GwTime delay;     /**< of the answers to appends */
    uint64_t keep;    /**< newest records that a stream retains; 0: all */
    bool list_down;   /**< the instance list answers 503 */
    bool list_frozen; /**< the instance list repeats its last answer */
} FakeFaults;

typedef struct FakePlatform FakePlatform;

/** Starts a platform at @p address; port 0: a free one. @return NULL with @p
 * err. */
FakePlatform *FakePlatform_New(GwLoop *loop, const GwAddress *address,
                               GwError *err);
void FakePlatform_Delete(FakePlatform *platform);
int FakePlatform_Port(const FakePlatform *platform);
FakeFaults *FakePlatform_Faults(FakePlatform *platform);
/** Adds or replaces a row of the instance list. */
void FakePlatform_SetInstance(FakePlatform *platform, const char *name,
                              const char *role, const char *pool,
                              const char *failure_domain, int port,
                              bool leaving);
/** Appends a record without a call. @return its offset */
uint64_t FakePlatform_Append(FakePlatform *platform, const char *stream,
                             const json_t *record);
/** @return number of records that @p stream retains */
uint64_t FakePlatform_Count(const FakePlatform *platform, const char *stream);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
