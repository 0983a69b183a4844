/**
 * @defgroup fake_deployment A small deployment of the users' platform
 * @brief A store, engines and plain services that speak the published calls.
 *
 * For the demo and for trying the programs by hand. Each engine has a loopback
 * address of its own (127.0.0.11 and on), as a sidecar's port is the same on
 * every machine. Rows of other writers lie in the list as well, one of them
 * with the address of the first engine.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_DEPLOYMENT_H
#define GALENAGW_FAKES_FAKE_DEPLOYMENT_H

#include "galenagw/fakes/fake_store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FAKE_DEPLOYMENT_ENGINES 16

typedef struct FakeDeployment FakeDeployment;

/** Start all on ports that are free. @return NULL with @p err. */
FakeDeployment *FakeDeployment_New(GwLoop *loop, int engines, GwError *err);
void FakeDeployment_Delete(FakeDeployment *deployment);
int FakeDeployment_StorePort(const FakeDeployment *deployment);
/** Where engine @p i answers. */
GwAddress FakeDeployment_Engine(const FakeDeployment *deployment, int i);
/** Engine @p i ends and starts anew under its id: its orders are forgotten,
 * its weights are those that it had. */
void FakeDeployment_Restart(FakeDeployment *deployment, int i);
/** Name a version of the model's weights, as operators do. */
void FakeDeployment_NameWeights(FakeDeployment *deployment, int version);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
