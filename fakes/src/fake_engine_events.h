/* Cache events of a stand-in engine, and the calls that wait for them. */
#ifndef FAKES_FAKE_ENGINE_EVENTS_H
#define FAKES_FAKE_ENGINE_EVENTS_H

#include "fake_engine_private.h"

/* Adds events that @p n blocks were stored or removed, by @p kind. */
void FakeEngineEvents_Add(FakeEngine *e, const char *kind,
                          const uint64_t *blocks, size_t n);
/* Answers a call for events, or lets it wait for some. */
void FakeEngineEvents_Serve(FakeEngine *e, GwHttpCall *call);
/* Callback of event_timer: events become visible to waiting calls. */
void FakeEngineEvents_OnTimer(void *engine);
void FakeEngineEvents_DeletePoll(EventPoll *poll);

#endif
