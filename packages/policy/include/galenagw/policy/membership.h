/**
 * @defgroup membership Membership
 * @brief Which endpoints exist and may get new work, as one entry sees it.
 *
 * The instance list lags; what a member says itself, and how its attempts
 * end, is fresher. New work stops at the first sign of leaving. Silence or
 * a lost session makes a member suspect: it gets no new work but is tried
 * again on a new connection, with jittered back-off, because a connection
 * may be dead while its member is not. A member that fails much more often
 * than others is ejected for a while; at most a third may be ejected, lest
 * a fault of our own empties the pool.
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

/** Where a member stands. */
typedef enum {
    GW_MEMBER_NEW = 0, /**< listed, never heard */
    GW_MEMBER_LIVE,
    GW_MEMBER_SUSPECT, /**< silent or unreachable; tried again */
    GW_MEMBER_LEAVING, /**< announced or listed; final for its incarnation */
    GW_MEMBER_GONE,    /**< no longer listed */
    GW_MEMBER_STATES
} GwMemberState;

extern const char *const GwMemberState_Names[GW_MEMBER_STATES];

/** One member. Fields are read-only for users. */
typedef struct {
    char *name;
    char *pool;
    char *failure_domain;
    GwAddress address;
    uint64_t id; /**< hash of the name, for rendezvous */
    GwMemberState state;
    uint64_t incarnation;
    GwTime retry_at; /**< suspect: next connection try */
    int failures;    /**< in a row, to connect */
    GwTime ejected_until;
    double error_rate; /**< decayed share of failed attempts */
    double samples;
    bool listed;
    void *user; /**< the owner's, e.g. its session */
} GwMember;

typedef struct GwMembership GwMembership;

GwMembership *GwMembership_New(GRand *rand);
void GwMembership_Delete(GwMembership *m);

/** An instance-list row arrived. @return the member, new or known. */
GwMember *GwMembership_Listed(GwMembership *m, const char *name,
                              const char *pool, const char *failure_domain,
                              const GwAddress *address, bool leaving);
/** Begin a new reading of the list; rows not repeated by End are gone. */
void GwMembership_BeginList(GwMembership *m);
/** @return how many members were removed from use. */
int GwMembership_EndList(GwMembership *m);

/** Its Hello came. */
void GwMembership_Hello(GwMembership *m, GwMember *member,
                        uint64_t incarnation, bool leaving);
/** It announced that it leaves. */
void GwMembership_Leaving(GwMembership *m, GwMember *member);
/** Its session fell silent, was lost, or could not be opened. */
void GwMembership_Lost(GwMembership *m, GwMember *member, GwTime now);
/** An attempt there ended. @return true if the member was ejected. */
bool GwMembership_Attempt(GwMembership *m, GwMember *member, bool failed,
                          GwTime now);

/** Whether @p member may get new work. */
bool GwMembership_IsUsable(const GwMember *member, GwTime now);
/** Whether a connection to @p member may be tried now. */
bool GwMembership_MayConnect(const GwMember *member, GwTime now);

/** All members (GwMember *) of @p pool; owned by the module, or NULL. */
const GPtrArray *GwMembership_Pool(const GwMembership *m, const char *pool);
/** All members. */
const GPtrArray *GwMembership_All(const GwMembership *m);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
