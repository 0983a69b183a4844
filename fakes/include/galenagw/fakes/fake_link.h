/**
 * @defgroup fake_link Stand-in for a slow link
 * @brief Forwards TCP at a limited rate in each direction.
 *
 * All connections through the link share the rate round-robin. Reading from a
 * faster sender is paused while its queue is full, so no bytes are lost.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_LINK_H
#define GALENAGW_FAKES_FAKE_LINK_H

#include "galenagw/net/tcp.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct FakeLink FakeLink;

/** Direction of bytes. */
typedef enum {
    FAKE_LINK_UP = 0, /**< from the connecting side */
    FAKE_LINK_DOWN,   /**< to the connecting side */
    FAKE_LINK_WAYS
} FakeLinkWay;

/** @param bytes_per_s rate of each direction */
FakeLink *FakeLink_New(GwLoop *loop, uint64_t bytes_per_s);
void FakeLink_Delete(FakeLink *link);
/** Opens a listening port whose connections are forwarded to @p target_port.
 * @return its number */
int FakeLink_Open(FakeLink *link, int target_port);
/** @return bytes forwarded so far in direction @p way */
uint64_t FakeLink_Carried(const FakeLink *link, FakeLinkWay way);
/** Stops forwarding in direction @p way, or resumes it. */
void FakeLink_Block(FakeLink *link, FakeLinkWay way, bool block);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
