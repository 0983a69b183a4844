/**
 * @defgroup fake_hop Stand-in network hop
 * @brief Forwards TCP, and can lose track of the connections it carries.
 *
 * A frozen connection stays open on both sides and carries nothing any
 * more, for good; connections made later work.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_HOP_H
#define GALENAGW_FAKES_FAKE_HOP_H

#include "galenagw/net/tcp.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct FakeHop FakeHop;

FakeHop *FakeHop_New(GwLoop *loop, int target_port, GwError *err);
void FakeHop_Delete(FakeHop *hop);
int FakeHop_Port(const FakeHop *hop);
/** Forward new connections to another port. */
void FakeHop_SetTarget(FakeHop *hop, int target_port);
/** Lose track of all present connections. */
void FakeHop_Freeze(FakeHop *hop);
/** Also of what comes from the connecting side only. */
void FakeHop_FreezeForward(FakeHop *hop);
/** Deliver, at last, what frozen connections took in meanwhile. */
void FakeHop_Thaw(FakeHop *hop);
/** Close all present connections. */
void FakeHop_Cut(FakeHop *hop);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
