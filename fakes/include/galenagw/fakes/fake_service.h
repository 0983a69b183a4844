/**
 * @defgroup fake_service Stand-in service
 * @brief A plain booking service that counts how often each call ran.
 *
 * A call's identity is the `id` member of its JSON body.
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
    GwTime delay;     /**< between running a call and answering */
    int lose_answers; /**< this many calls run, their answers are lost */
    int hang;         /**< this many calls run and are never answered */
    int padding;      /**< bytes added to each answer */
} FakeServiceOptions;

typedef struct FakeService FakeService;

FakeService *FakeService_New(GwLoop *loop, const GwAddress *address,
                             const FakeServiceOptions *options, GwError *err);
void FakeService_Delete(FakeService *service);
int FakeService_Port(const FakeService *service);
FakeServiceOptions *FakeService_Options(FakeService *service);
/** How often the call named @p id ran. */
int FakeService_Runs(const FakeService *service, const char *id);
/** Most runs of any one call; all calls run. */
int FakeService_MostRuns(const FakeService *service);
int FakeService_Total(const FakeService *service);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
