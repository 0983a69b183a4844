/**
 * @defgroup kv_save Saving to a KV store
 * @brief Which requests save the KV cache of their prompt to a KV store.
 *
 * A save includes the request's own part, which no other request can use. It
 * occupies the store's link and memory until newer parts evict it. A store
 * only has memory for what was saved within the last seconds. If requests with
 * own parts of any length save, this period is shorter than the time between
 * two uses of a shared part. If requests with own parts never save, most
 * shared parts are never in the store.
 * @{
 */
#ifndef GALENAGW_ROUTING_KV_SAVE_H
#define GALENAGW_ROUTING_KV_SAVE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Whether a request with @p own tokens in its own part should save its @p
 * shared tokens, or leave that to another request. */
bool GwKvSave_ShouldSave(uint32_t own, uint32_t shared);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
