/**
 * @defgroup fake_engine Stand-in engine
 * @brief A model engine over HTTP: prefix cache, slots, prefill, streaming.
 *
 * Prefills run one after another, in order of priority, and take a time for
 * each token that is not cached; then one token is sent per decode interval.
 * The text of each token is "TAG:INDEX " with a tag computed from the last
 * user message. With it a client can check that an answer is its own, complete
 * and in order.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_ENGINE_H
#define GALENAGW_FAKES_FAKE_ENGINE_H

#include "galenagw/fakes/fake_engine_types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Starts an engine at @p address; port 0: a free one. @return NULL with @p
 * err. */
FakeEngine *FakeEngine_New(GwLoop *loop, const GwAddress *address,
                           const FakeEngineOptions *options, GwError *err);
void FakeEngine_Delete(FakeEngine *engine);
int FakeEngine_Port(const FakeEngine *engine);
/** @return options of the engine; changes of its faults take effect at once */
FakeEngineOptions *FakeEngine_Options(FakeEngine *engine);
const FakeEngineStats *FakeEngine_Stats(const FakeEngine *engine);
/** Sets the engines that `held_elsewhere` compares with. */
void FakeEngine_SetFleet(FakeEngine *engine, FakeEngine **fleet, size_t n);
/** Aborts all requests and restarts as a new incarnation with an empty
 * cache. */
void FakeEngine_Crash(FakeEngine *engine);
/** Computes the tag of answers to @p message: 8 hex digits. */
void FakeEngine_Tag(const char *message, char tag[9]);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
