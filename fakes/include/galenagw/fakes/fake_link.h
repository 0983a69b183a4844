/**
 * @defgroup fake_link Stand-in for a slow link
 * @brief Forwards TCP at so many bytes a second in each direction.
 *
 * All connections made through it share the rate in turns. A sender that is
 * faster is held back, as by a full queue, and loses nothing.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_LINK_H
#define GALENAGW_FAKES_FAKE_LINK_H

#include "galenagw/net/tcp.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct FakeLink FakeLink;

/** Which way bytes go, seen from the connecting side. */
typedef enum {
    FAKE_LINK_UP = 0, /**< from the connecting side */
    FAKE_LINK_DOWN,   /**< to the connecting side */
    FAKE_LINK_WAYS
} FakeLinkWay;

FakeLink *FakeLink_New(GwLoop *loop, uint64_t bytes_per_s);
void FakeLink_Delete(FakeLink *link);
/** @return a port whose connections go to @p target_port over the link */
int FakeLink_Open(FakeLink *link, int target_port);
/** Bytes carried so far. */
uint64_t FakeLink_Carried(const FakeLink *link, FakeLinkWay way);
/** Carry nothing more in direction @p way, or go on. */
void FakeLink_Block(FakeLink *link, FakeLinkWay way, bool block);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
