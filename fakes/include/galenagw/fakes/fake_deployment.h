/**
 * @defgroup fake_deployment Stand-in deployment
 * @brief A store, engines and a plain service with the platform's HTTP calls.
 *
 * For the demo and for trying the programs by hand. Each engine has a loopback
 * address of its own (127.0.0.11 and on), as a sidecar's port is the same on
 * every machine. The instance list also contains rows of other writers, one of
 * them with the address of the first engine.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_DEPLOYMENT_H
#define GALENAGW_FAKES_FAKE_DEPLOYMENT_H

#include "galenagw/fakes/fake_store.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most engines of a deployment. */
#define FAKE_DEPLOYMENT_ENGINES 16

typedef struct FakeDeployment FakeDeployment;

/** Starts the store, up to FAKE_DEPLOYMENT_ENGINES engines and a plain service
 * on free ports. @return NULL with @p err */
FakeDeployment *FakeDeployment_New(GwLoop *loop, int engines, GwError *err);
void FakeDeployment_Delete(FakeDeployment *deployment);
int FakeDeployment_StorePort(const FakeDeployment *deployment);
/** @return address of engine @p i, counted from 0 */
GwAddress FakeDeployment_Engine(const FakeDeployment *deployment, int i);
/** Restarts engine @p i as a new incarnation of its instance id. Its count of
 * load orders is reset and a load in progress is dropped; its weights stay. */
void FakeDeployment_Restart(FakeDeployment *deployment, int i);
/** Writes the version of the model's weights that all engines must load, as an
 * operator does. */
void FakeDeployment_NameWeights(FakeDeployment *deployment, int version);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
