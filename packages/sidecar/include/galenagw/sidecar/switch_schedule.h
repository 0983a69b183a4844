/**
 * @defgroup switch_schedule Switch schedule
 * @brief When an engine switches to newer weights, beside others of its
 * service.
 *
 * Operators may name a version for all engines of a service every few seconds,
 * also while callers send more than the engines can prefill. An engine accepts
 * no requests while it switches. If each version started a sequence of its
 * own, the sequences would overlap until most engines are unavailable, which
 * makes each switch longer, and engines would load versions that are already
 * replaced.
 *
 * So the engines of a service form groups of which one engine may switch at a
 * time, over all versions together. Next is the engine with the oldest
 * weights, and it loads the newest version. All sidecars compute the same
 * groups from the instance list, and each one decides for its own engine from
 * the states of the others in its group; no coordinator can fail.
 *
 * While the engines have a queue beyond the target latency of their callers,
 * the next switch is delayed up to its latest start: the time that is still
 * sufficient for the remaining engines of the group, one after the other. If
 * one after the other does not suffice, several switch at a time.
 * @{
 */
#ifndef GALENAGW_SIDECAR_SWITCH_SCHEDULE_H
#define GALENAGW_SIDECAR_SWITCH_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of groups of a service with @p engines engines: as many switch at
 * once. */
size_t GwSwitchSchedule_Groups(size_t engines);

/** An engine of a group. */
typedef struct {
    int64_t weights;
    GwTime outdated_since;  /**< when a version newer than its weights was
                               named; 0: it has the newest */
    GwTime reported_at;     /**< when its state was last received, or when this
                               process began to follow it */
    GwTime switching_since; /**< when it stopped to accept requests for a
                               switch; 0: it accepts requests */
    /** how long a switch takes there, from when the engine stops to accept
     * requests; 0: not measured */
    GwTime switch_time;
    double prefill_tokens_per_ms; /**< measured; 0: unknown */
    bool is_down;            /**< the engine does not answer its sidecar */
    uint64_t waiting_tokens; /**< prompt tokens that wait there for prefill */
} GwSwitchMember;

/** State in which an engine may start its switch. */
typedef struct {
    const GwSwitchMember *members; /**< of its group, in the order of address
                                      hashes */
    size_t n_members;
    size_t own; /**< index of the engine itself */
    GwTime now;
    GwTime bound;          /**< after which all must run a version, counted
                              from when it was named */
    GwTime target_latency; /**< shortest one of the routes to the service; 0:
                              unknown */
} GwSwitchFacts;

/** Why an engine starts its switch or not. */
typedef enum {
    GW_SWITCH_CURRENT = 0,   /**< it has the newest weights */
    GW_SWITCH_WAITS_TURN,    /**< another engine of the group is before it */
    GW_SWITCH_WAITS_GROUP,   /**< another engine of the group switches */
    GW_SWITCH_WAITS_LOAD,    /**< the engines have no room, and time is left */
    GW_SWITCH_STARTS,        /**< the group has room */
    GW_SWITCH_STARTS_LATEST, /**< the latest start has come */
    GW_SWITCH_REASONS
} GwSwitchReason;

/** Names of ::GwSwitchReason in logs, by value. */
extern const char *const GwSwitchReason_Names[GW_SWITCH_REASONS];

/** Result of GwSwitchSchedule_Decide. */
typedef struct {
    GwSwitchReason reason;
    bool may_prepare;    /**< it may stop to accept long runs */
    bool may_start;      /**< it may stop to accept requests */
    size_t at_once;      /**< engines of the group that may switch at a time */
    GwTime latest_start; /**< of the next switch of the group */
    bool is_late;        /**< even if all of the group switched at once, one
                            would be outdated beyond the bound */
} GwSwitchDecision;

GwSwitchDecision GwSwitchSchedule_Decide(const GwSwitchFacts *facts);

/**
 * Time of a switch after another one has been measured.
 * @param known    as before; 0: none was measured
 * @param measured of the last switch
 */
GwTime GwSwitchSchedule_UpdateTime(GwTime known, GwTime measured);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
