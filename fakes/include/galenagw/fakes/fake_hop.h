/**
 * @defgroup fake_hop Stand-in network hop
 * @brief Forwards TCP connections and can stop forwarding without closing
 * them.
 *
 * Simulates a network device that lost the state of its connections. A frozen
 * connection stays open on both sides and transports nothing until
 * FakeHop_Thaw; connections made after FakeHop_Freeze are forwarded.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_HOP_H
#define GALENAGW_FAKES_FAKE_HOP_H

#include "galenagw/net/tcp.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct FakeHop FakeHop;

/** Listens on a free port of 127.0.0.1. @return NULL with @p err */
FakeHop *FakeHop_New(GwLoop *loop, int target_port, GwError *err);
void FakeHop_Delete(FakeHop *hop);
int FakeHop_Port(const FakeHop *hop);
/** Forwards new connections to another port. */
void FakeHop_SetTarget(FakeHop *hop, int target_port);
/** Freezes both directions of all current connections. */
void FakeHop_Freeze(FakeHop *hop);
/** Freezes only the direction from the connecting side to the target. */
void FakeHop_FreezeForward(FakeHop *hop);
/** Ends the freeze and forwards the bytes received during it. */
void FakeHop_Thaw(FakeHop *hop);
/** Closes all current connections. */
void FakeHop_Cut(FakeHop *hop);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
