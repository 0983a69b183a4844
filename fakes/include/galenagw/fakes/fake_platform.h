/**
 * @defgroup fake_platform Stand-in platform
 * @brief Log service and instance list over HTTP, in memory, with faults.
 *
 * Speaks the protocol that docs/INTERFACES.md assumes. Also reachable as a
 * process, `gw-standin platform`, and then controlled by POST /faults.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_PLATFORM_H
#define GALENAGW_FAKES_FAKE_PLATFORM_H

#include <jansson.h>

#include "galenagw/http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What the log does to calls. */
typedef enum {
    FAKE_LOG_UP = 0,
    FAKE_LOG_DOWN, /**< answers 503, without effect */
    FAKE_LOG_HANG, /**< takes calls, never answers, without effect */
    FAKE_LOG_MODES
} FakeLogMode;

extern const char *const FakeLogMode_Names[FAKE_LOG_MODES];

/** Faults; plain data, changed at will. */
typedef struct {
    FakeLogMode mode;
    int lose_answers; /**< this many appends work, their answers are lost */
    int drop_appends; /**< this many are lost before they work */
    int late_appends; /**< this many work only after `late_by` */
    GwTime late_by;
    GwTime delay;  /**< of every answer */
    uint64_t keep; /**< records kept a stream; 0: all */
    bool list_down;
    bool list_frozen; /**< the list answers with its old content */
} FakeFaults;

typedef struct FakePlatform FakePlatform;

FakePlatform *FakePlatform_New(GwLoop *loop, const GwAddress *address,
                               GwError *err);
void FakePlatform_Delete(FakePlatform *platform);
int FakePlatform_Port(const FakePlatform *platform);
FakeFaults *FakePlatform_Faults(FakePlatform *platform);
/** Add or change a row of the instance list. */
void FakePlatform_SetInstance(FakePlatform *platform, const char *name,
                              const char *role, const char *pool,
                              const char *failure_domain, int port,
                              bool leaving);
/** Append directly, as another process would. @return its offset */
uint64_t FakePlatform_Append(FakePlatform *platform, const char *stream,
                             const json_t *record);
/** Records of @p stream that are kept. */
uint64_t FakePlatform_Count(const FakePlatform *platform, const char *stream);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
