#include "entry_quarantine.h"

#include "galenagw/quarantine/message_identity.h"

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

void
EntryQuarantine_Identify(Exchange *x, const json_t *root)
{
    GwMessageSource source = {
        .digest = {.account = x->account,
                   .method = x->request.method,
                   .target = x->request.path,
                   .body = x->request.body,
                   .body_len = x->request.body_len},
        .model = x->request.pool,
        .root = root,
    };

    x->identity = GwMessageIdentity_Of(&source);
}

GwTime
EntryQuarantine_Admit(const Exchange *x)
{
    return GwQuarantine_Admit(x->entry->quarantine, &x->identity, GwTime_Now())
        .time_left;
}

bool
EntryQuarantine_IsLastAttempt(const Exchange *x)
{
    return !GwQuarantine_MayRetry(x->entry->quarantine, &x->identity, true,
                                  GwTime_Now());
}

void
EntryQuarantine_OnCompleted(const Exchange *x)
{
    GwQuarantineSync_AddCompletion(x->entry->quarantine, &x->identity,
                                   x->status, &sync_ops, x->entry);
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
