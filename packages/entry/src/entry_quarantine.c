#include "entry_quarantine.h"

static GwDigest compute_digest_(const Exchange *x);
static void on_update_(void *user, GwSession *from,
                       const GwQuarantineUpdate *update);
static unsigned get_group_size_(void *user, uint64_t group);

static const GwQuarantineSyncOps sync_ops = {on_update_, get_group_size_};

void
EntryQuarantine_Init(GwEntry *entry)
{
    GwQuarantineOptions options = {.on_changed = GwQuarantine_WarnChanged,
                                   .name = entry->options.name};

    entry->quarantine = GwQuarantine_New(&options);
}

void
EntryQuarantine_Stop(GwEntry *entry)
{
    GwQuarantine_Delete(entry->quarantine);
}

GwTime
EntryQuarantine_Admit(const Exchange *x)
{
    GwDigest digest;

    if (GwQuarantine_IsEmpty(x->entry->quarantine))
        return 0;
    digest = compute_digest_(x);
    return GwQuarantine_Admit(x->entry->quarantine, &digest, GwTime_Now());
}

bool
EntryQuarantine_IsLastAttempt(const Exchange *x)
{
    GwDigest digest;

    if (GwQuarantine_IsEmpty(x->entry->quarantine))
        return false;
    digest = compute_digest_(x);
    return GwQuarantine_Terminations(x->entry->quarantine, &digest) >=
           GW_QUARANTINE_TERMINATIONS - 1;
}

void
EntryQuarantine_OnCompleted(const Exchange *x)
{
    GwTime now = GwTime_Now();
    GwQuarantineUpdate update = {.completed = compute_digest_(x),
                                 .completed_at = now};

    if (GwQuarantine_AddCompletion(x->entry->quarantine, &update.completed,
                                   now, now))
        on_update_(x->entry, NULL, &update);
}

void
EntryQuarantine_SendAll(Peer *peer)
{
    GwQuarantineSync_SendAll(peer->session, peer->entry->quarantine);
}

bool
EntryQuarantine_OnFrame(Peer *peer, const GwFrame *frame)
{
    return GwQuarantineSync_OnFrame(peer->entry->quarantine, peer->session,
                                    frame, &sync_ops, peer->entry);
}

void
EntryQuarantine_Sweep(GwEntry *entry, GwTime now)
{
    GwQuarantine_SetProcesses(entry->quarantine, (unsigned)entry->n_entries);
    GwQuarantine_Sweep(entry->quarantine, now);
}

static GwDigest
compute_digest_(const Exchange *x)
{
    GwDigestSource source = {
        .account = x->account,
        .method = x->request.method,
        .target = x->request.path,
        .body = x->request.body,
        .body_len = x->request.body_len,
    };

    return GwDigest_Of(&source);
}

// Forwards an update to all agents except the one that sent it, because agents
// have sessions to entries only.
static void
on_update_(void *user, GwSession *from, const GwQuarantineUpdate *update)
{
    GwEntry *entry = user;
    const GPtrArray *all = GwMembership_All(entry->members);

    for (guint i = 0; i < all->len; i++) {
        const Peer *peer = ((GwMember *)all->pdata[i])->user;

        if (peer != NULL && peer->session != from && Peers_IsReady(peer))
            GwQuarantineSync_Send(peer->session, update);
    }
}

static unsigned
get_group_size_(void *user, uint64_t group)
{
    const GwEntry *entry = user;
    const GPtrArray *all = GwMembership_All(entry->members);
    unsigned n = 0;

    for (guint i = 0; i < all->len; i++) {
        const GwMember *member = all->pdata[i];

        n += GwQuarantine_Group(member->pool, member->failure_domain) == group;
    }
    return n;
}
