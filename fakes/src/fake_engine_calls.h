/* Calls to a stand-in engine that are no generations. */
#ifndef FAKES_FAKE_ENGINE_CALLS_H
#define FAKES_FAKE_ENGINE_CALLS_H

#include "fake_engine_private.h"

void FakeEngineCalls_ServeReport(FakeEngine *e, GwHttpCall *call);
void FakeEngineCalls_ServeOrder(FakeEngine *e, GwHttpCall *call);
void FakeEngineCalls_ServeStats(FakeEngine *e, GwHttpCall *call);
/* Callback of load_timer: the ordered weights are loaded. */
void FakeEngineCalls_OnWeightsLoaded(void *engine);

#endif
