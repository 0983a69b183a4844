/**
 * @defgroup membership Membership
 * @brief Which endpoints exist and may get new requests, from the view of one
 * entry.
 *
 * The instance list is delayed; what a member sends itself, and the outcomes
 * of its attempts, are more recent. A member gets no new requests from the
 * first sign of its departure. Silence or a lost session makes a member
 * suspect: it gets no new requests, but the entry opens new connections to it
 * with jittered backoff, because a connection may be dead while its member is
 * not. A member whose attempts fail too often is ejected for a while. At most
 * a third of a pool is ejected at a time, so that a fault of the entry itself
 * does not make all members unusable.
 * @{
 */
#ifndef GALENAGW_POLICY_MEMBERSHIP_H
#define GALENAGW_POLICY_MEMBERSHIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"
#include "galenagw/base/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** State of a member. */
typedef enum {
    GW_MEMBER_NEW = 0,  /**< listed; nothing was received from it yet */
    GW_MEMBER_LIVE,     /**< its Hello was received */
    GW_MEMBER_SUSPECT,  /**< silent or unreachable; connections are retried */
    GW_MEMBER_LEAVING,  /**< departure announced or listed; final for its
                             incarnation */
    GW_MEMBER_DEPARTED, /**< no longer listed */
    GW_MEMBER_STATES
} GwMemberState;

extern const char *const GwMemberState_Names[GW_MEMBER_STATES];

/** One member. Fields are read-only for users. */
typedef struct {
    char *name;
    char *pool;
    char *failure_domain;
    GwAddress address;
    uint64_t id; /**< hash of the name, for rendezvous hashing */
    GwMemberState state;
    uint64_t incarnation;
    GwTime retry_at; /**< time of the next connection attempt, if suspect */
    int failures;    /**< failed connections in a row */
    GwTime ejected_until; /**< gets no new requests until then */
    double error_rate;    /**< moving average share of failed attempts */
    double samples;       /**< decayed number of attempts in @c error_rate */
    bool listed;          /**< in the instance list */
    void *user;           /**< data of the module's user, e.g. its session */
} GwMember;

typedef struct GwMembership GwMembership;

/** @param rand borrowed */
GwMembership *GwMembership_New(GRand *rand);
void GwMembership_Delete(GwMembership *m);

/** Adds or updates the member of a row of the instance list.
 * @return the member, new or known; owned by the module */
GwMember *GwMembership_Listed(GwMembership *m, const char *name,
                              const char *pool, const char *failure_domain,
                              const GwAddress *address, bool leaving);
/** Begins a full read of the list; members that are not listed until
 * GwMembership_EndList have departed. */
void GwMembership_BeginList(GwMembership *m);
/** @return number of members that have departed since the last read */
int GwMembership_EndList(GwMembership *m);

/** Hello of @p member was received. */
void GwMembership_Hello(GwMembership *m, GwMember *member,
                        uint64_t incarnation, bool leaving);
/** @p member announced its departure. */
void GwMembership_Leaving(GwMembership *m, GwMember *member);
/** The session of @p member was silent for too long, was lost, or could not be
 * opened. */
void GwMembership_Lost(GwMembership *m, GwMember *member, GwTime now);
/** Records the outcome of an attempt at @p member. @return whether the member
 * was ejected because of it */
bool GwMembership_Attempt(GwMembership *m, GwMember *member, bool failed,
                          GwTime now);

/** Whether @p member may get new requests. */
bool GwMembership_IsUsable(const GwMember *member, GwTime now);
/** Whether a connection to @p member may be attempted now. */
bool GwMembership_MayConnect(const GwMember *member, GwTime now);

/** All members (GwMember *) of @p pool; owned by the module, or NULL. */
const GPtrArray *GwMembership_Pool(const GwMembership *m, const char *pool);
/** All members (GwMember *), departed ones included. */
const GPtrArray *GwMembership_All(const GwMembership *m);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
