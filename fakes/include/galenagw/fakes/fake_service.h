/**
 * @defgroup fake_service Stand-in service
 * @brief A plain booking service that counts the runs of each call.
 *
 * A call is identified by the `id` member of its JSON body. Repeated runs of
 * one call show that a request was executed more than once.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_SERVICE_H
#define GALENAGW_FAKES_FAKE_SERVICE_H

#include "galenagw/http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Behaviour and faults; may be changed at any time. */
typedef struct {
    GwTime delay;     /**< between the run of a call and its answer */
    int lose_answers; /**< calls that run, then their connection is aborted */
    int hang;         /**< calls that run and are never answered */
    int padding;      /**< spaces added to each answer, in bytes */
} FakeServiceOptions;

typedef struct FakeService FakeService;

/** Starts a service at @p address; port 0: a free one. @return NULL with @p
 * err. */
FakeService *FakeService_New(GwLoop *loop, const GwAddress *address,
                             const FakeServiceOptions *options, GwError *err);
void FakeService_Delete(FakeService *service);
int FakeService_Port(const FakeService *service);
FakeServiceOptions *FakeService_Options(FakeService *service);
/** @return number of runs of the call @p id */
int FakeService_Runs(const FakeService *service, const char *id);
/** @return highest number of runs of any call */
int FakeService_MostRuns(const FakeService *service);
/** @return runs of all calls */
int FakeService_Total(const FakeService *service);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
