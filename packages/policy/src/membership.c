#include "galenagw/policy/membership.h"

#include <string.h>
#include <xxhash.h>

#define BACKOFF_MIN (50 * GW_MILLISECOND)
#define BACKOFF_MAX (5 * GW_SECOND)
/* How long a member is ejected, before jitter. */
#define EJECT_TIME (2 * GW_SECOND)
/* A member is ejected from this share of failed attempts on, if the share is
 * computed from enough samples. */
#define EJECT_ERROR_RATE 0.5
#define EJECT_MIN_SAMPLES 5
/* Factor by which each attempt reduces the weight of earlier ones. */
#define SAMPLE_DECAY 0.95
/* At most one in this many members of a pool is ejected at a time. */
#define EJECT_MEMBERS_DIVISOR 3

const char *const GwMemberState_Names[GW_MEMBER_STATES] = {
    "new", "live", "suspect", "leaving", "gone",
};

struct GwMembership {
    GRand *rand;
    GPtrArray *all;      /* owns GwMember */
    GHashTable *by_name; /* name to GwMember */
    GHashTable *pools;   /* name to GPtrArray of GwMember */
};

static GwMember *add_member_(GwMembership *m, const char *name,
                             const char *pool);
static void delete_member_(gpointer p);
static bool may_eject_(const GwMembership *m, const GwMember *member,
                       GwTime now);

GwMembership *
GwMembership_New(GRand *rand)
{
    GwMembership *m = g_new0(GwMembership, 1);

    m->rand = rand;
    m->all = g_ptr_array_new_with_free_func(delete_member_);
    m->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    m->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)g_ptr_array_unref);
    return m;
}

void
GwMembership_Delete(GwMembership *m)
{
    if (m == NULL)
        return;
    g_hash_table_unref(m->pools);
    g_hash_table_unref(m->by_name);
    g_ptr_array_unref(m->all);
    g_free(m);
}

GwMember *
GwMembership_Listed(GwMembership *m, const char *name, const char *pool,
                    const char *failure_domain, const GwAddress *address,
                    bool leaving)
{
    GwMember *member = g_hash_table_lookup(m->by_name, name);

    if (member == NULL)
        member = add_member_(m, name, pool);
    g_free(member->failure_domain);
    member->failure_domain = g_strdup(failure_domain);
    // A replaced instance has the same name and another address; the state of
    // the old one does not apply to it.
    if (!GwAddress_Equal(&member->address, address)) {
        member->address = *address;
        member->state = GW_MEMBER_NEW;
        member->retry_at = 0;
        member->failures = 0;
    }
    member->listed = true;
    if (member->state == GW_MEMBER_DEPARTED)
        member->state = GW_MEMBER_NEW;
    if (leaving)
        GwMembership_Leaving(m, member);
    return member;
}

void
GwMembership_BeginList(GwMembership *m)
{
    for (guint i = 0; i < m->all->len; i++)
        ((GwMember *)m->all->pdata[i])->listed = false;
}

int
GwMembership_EndList(GwMembership *m)
{
    int n_removed = 0;

    for (guint i = 0; i < m->all->len; i++) {
        GwMember *member = m->all->pdata[i];

        if (member->listed || member->state == GW_MEMBER_DEPARTED)
            continue;
        member->state = GW_MEMBER_DEPARTED;
        n_removed++;
    }
    return n_removed;
}

void
GwMembership_Hello(GwMembership *m, GwMember *member, uint64_t incarnation,
                   bool leaving)
{
    bool restarted = incarnation != member->incarnation;

    member->incarnation = incarnation;
    member->failures = 0;
    member->retry_at = 0;
    // An announced departure is final for the incarnation; a restarted process
    // has not announced one.
    if (member->state != GW_MEMBER_LEAVING || restarted)
        member->state = GW_MEMBER_LIVE;
    if (leaving)
        member->state = GW_MEMBER_LEAVING;
}

void
GwMembership_Leaving(GwMembership *m, GwMember *member)
{
    member->state = GW_MEMBER_LEAVING;
}

void
GwMembership_Lost(GwMembership *m, GwMember *member, GwTime now)
{
    GwTime delay = BACKOFF_MIN << MIN(member->failures, 10);

    member->failures++;
    // Jitter prevents all entries from reconnecting at the same time.
    member->retry_at = now + GwTime_Jitter(m->rand, MIN(delay, BACKOFF_MAX));
    if (member->state != GW_MEMBER_LEAVING &&
        member->state != GW_MEMBER_DEPARTED)
        member->state = GW_MEMBER_SUSPECT;
}

bool
GwMembership_Attempt(GwMembership *m, GwMember *member, bool failed,
                     GwTime now)
{
    member->samples = member->samples * SAMPLE_DECAY + 1;
    member->error_rate += (failed - member->error_rate) / member->samples;
    if (!failed || now < member->ejected_until ||
        member->samples < EJECT_MIN_SAMPLES ||
        member->error_rate < EJECT_ERROR_RATE || !may_eject_(m, member, now))
        return false;
    member->ejected_until = now + GwTime_Jitter(m->rand, EJECT_TIME);
    member->samples = 0;
    member->error_rate = 0;
    return true;
}

bool
GwMembership_IsUsable(const GwMember *member, GwTime now)
{
    return (member->state == GW_MEMBER_NEW ||
            member->state == GW_MEMBER_LIVE) &&
           now >= member->ejected_until;
}

bool
GwMembership_MayConnect(const GwMember *member, GwTime now)
{
    return member->state != GW_MEMBER_DEPARTED && now >= member->retry_at;
}

const GPtrArray *
GwMembership_Pool(const GwMembership *m, const char *pool)
{
    return g_hash_table_lookup(m->pools, pool);
}

const GPtrArray *
GwMembership_All(const GwMembership *m)
{
    return m->all;
}

static GwMember *
add_member_(GwMembership *m, const char *name, const char *pool)
{
    GwMember *member = g_new0(GwMember, 1);
    GPtrArray *list = g_hash_table_lookup(m->pools, pool);

    member->name = g_strdup(name);
    member->pool = g_strdup(pool);
    member->id = XXH3_64bits(name, strlen(name));
    g_ptr_array_add(m->all, member);
    g_hash_table_insert(m->by_name, member->name, member);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(m->pools, g_strdup(pool), list);
    }
    g_ptr_array_add(list, member);
    return member;
}

static void
delete_member_(gpointer p)
{
    GwMember *member = p;

    g_free(member->name);
    g_free(member->pool);
    g_free(member->failure_domain);
    g_free(member);
}

static bool
may_eject_(const GwMembership *m, const GwMember *member, GwTime now)
{
    const GPtrArray *pool = GwMembership_Pool(m, member->pool);
    guint ejected = 0;

    for (guint i = 0; i < pool->len; i++) {
        const GwMember *other = pool->pdata[i];

        ejected += now < other->ejected_until;
    }
    return (ejected + 1) * EJECT_MEMBERS_DIVISOR <= pool->len;
}
