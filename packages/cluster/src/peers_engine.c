#include "peers_private.h"

#include <string.h>

#include "galenagw/cluster/peers.h"

/* Interval of states to agents that follow this one, unless the engine's
 * weights or its switch change. They need the load to within a second, while
 * entries choose engines by it. */
#define AGENT_STATE_INTERVAL (800 * GW_MILLISECOND)

static bool is_following_entry_(const Peer *peer);
static void send_engine_state_(GwPeers *p, Peer *peer,
                               const GwWaitingTokens *all);
static void send_cached_parts_(GwPeers *p, Peer *peer,
                               const GwCachedPartChange *list, size_t n);
static void send_changed_loads_(GwPeers *p);
static GwWaitingTokens sum_waiting_tokens_(const GwPeers *p);
static bool is_stale_incarnation_(int64_t received, int64_t known);
static uint32_t tokens_per_s_(const GwEngineSpeed *speed);
static void add_speed_sample_(GwPeers *p, const GwEntryLoad *before,
                              const Gw__Wire__PrefillNote *note);
static void log_speed_(GwPeers *p, GwEngineSpeed *speed, const char *instance,
                       double tokens_per_ms);

void
GwPeers_BroadcastEngineState(GwPeers *p, const GwEngineState *state)
{
    GwWaitingTokens all = sum_waiting_tokens_(p);
    bool is_switch_change = !p->has_engine ||
                            p->engine.incarnation != state->incarnation ||
                            p->engine.weights != state->weights ||
                            p->engine.preparing != state->preparing ||
                            p->engine.switching != state->switching ||
                            p->engine.down != state->down;
    Peer *peer;

    // Parts that were sent for another engine or incarnation do not apply to
    // this one, so the next update to each peer contains all parts.
    if (p->has_engine && (strcmp(p->engine_id, state->instance) != 0 ||
                          p->engine.incarnation != state->incarnation))
        GwPeers_ResetCachedParts(p);
    if (p->has_engine && p->engine.incarnation != state->incarnation)
        memset(&p->engine_speed, 0, sizeof(p->engine_speed));
    p->options.counters->gauges[GW_GAUGE_PREFILL_TOKENS_PER_S] =
        tokens_per_s_(&p->engine_speed);
    p->has_engine = true;
    p->engine = *state;
    g_strlcpy(p->engine_id, state->instance, sizeof(p->engine_id));
    p->engine.instance = p->engine_id;
    // Agents that follow this one (GwPeers_FollowAgents) are sent the state
    // too, but no cached parts.
    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (!peer->is_outbound && !peer->owner_only &&
            (peer->is_entry || is_switch_change ||
             GwTime_Now() - peer->state_sent_at >= AGENT_STATE_INTERVAL))
            send_engine_state_(p, peer, &all);
    }
}

void
GwPeers_SetCachedParts(GwPeers *p, const GwCachedParts *parts)
{
    p->own_cached_parts = parts;
}

void
GwPeers_BroadcastCachedParts(GwPeers *p, const GwCachedPartChange *list,
                             size_t n)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (is_following_entry_(peer) && GwSession_IsReady(peer->session))
            send_cached_parts_(p, peer, list, n);
    }
}

void
GwPeers_ResetCachedParts(GwPeers *p)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    GwCacheSync_Reset(&peer->cache_sync);
}

void
GwPeers_SendLoad(GwPeers *p, const GwInstance *instance)
{
    GwAddress address = instance->address;
    Peer *peer;
    GW_FRAME(frame, note, PREFILL_NOTE, PrefillNote, prefill_note);

    address.port = p->options.agent_port;
    peer = GwPeers_FindOutbound(p, &address);
    // If the instance is superseded, its requests wait at an earlier
    // incarnation and are not part of the current one's load.
    if (instance->superseded || peer == NULL ||
        !GwSession_IsReady(peer->session))
        return;
    note.tokens = instance->prefill_tokens;
    note.urgent = instance->urgent_tokens;
    note.sample_tokens = instance->sample_tokens;
    note.sample_us = instance->sample_us;
    note.yielding = instance->low_priority_tokens;
    note.yielding_memory = instance->yielding_memory;
    note.long_runs = instance->long_runs;
    note.incarnation = instance->incarnation;
    GwSession_Send(peer->session, &frame);
}

void
GwPeers_ResetLoads(GwPeers *p)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    GwEntryLoad_Reset(&peer->load);
    memset(&p->engine_speed, 0, sizeof(p->engine_speed));
}

unsigned
GwPeers_LongRuns(const GwPeers *p)
{
    const Peer *peer;
    unsigned n = 0;

    TAILQ_FOREACH(peer, &p->peers, link)
    n += peer->load.long_runs;
    return n;
}

uint64_t
GwPeers_WaitingTokens(const GwPeers *p)
{
    return sum_waiting_tokens_(p).tokens;
}

void
GwPeersEngine_SendInitial(GwPeers *p, Peer *peer)
{
    if (!peer->is_outbound && !peer->owner_only && p->has_engine) {
        GwWaitingTokens all = sum_waiting_tokens_(p);

        send_engine_state_(p, peer, &all);
    }
    // Nothing has been sent to this peer yet, so it is sent all parts.
    if (is_following_entry_(peer))
        send_cached_parts_(p, peer, NULL, 0);
}

void
GwPeersEngine_OnPrefillNote(GwPeers *p, Peer *from,
                            const Gw__Wire__PrefillNote *note)
{
    if (from == NULL || !p->has_engine ||
        is_stale_incarnation_(note->incarnation, p->engine.incarnation))
        return;
    add_speed_sample_(p, &from->load, note);
    GwEntryLoad_OnNote(&from->load, note);
    log_speed_(p, &p->engine_speed, p->engine_id,
               GwEngineSpeed_TokensPerMs(&p->engine_speed, GwTime_Now()));
    send_changed_loads_(p);
}

void
GwPeersEngine_OnEngineState(GwPeers *p, Peer *from,
                            const Gw__Wire__EngineState *state)
{
    GwInstance *instance =
        GwInstances_Find(GwView_Instances(p->options.view), state->instance);
    bool went_down;
    bool weights_changed;
    GwTime switching_since;

    // Stored even if the state is ignored below: the number of entries is
    // estimated from the reports of all agents, whether or not the list
    // contains their engines.
    from->entries = state->entries;
    if (instance == NULL ||
        is_stale_incarnation_(state->incarnation, instance->incarnation))
        return;
    // After a restart of its engine the agent reports the new incarnation
    // before the instance list contains it.
    if (state->incarnation > instance->incarnation)
        instance = GwInstances_ApplyRestart(
            GwView_Instances(p->options.view), state->instance,
            state->incarnation, GW_SOURCE_AGENT, GwTime_Now());
    went_down = state->down && !instance->agent_report.down;
    weights_changed = GwInstance_SetWeights(instance, state->weights);
    if (weights_changed ||
        instance->agent_report.switching != state->switching ||
        instance->agent_report.preparing != state->preparing ||
        instance->agent_report.down != state->down) {
        GwEvent_Begin(p->options.log, "engine", NULL);
        GwEvent_Text(p->options.log, "instance", instance->id);
        GwEvent_Number(p->options.log, "weights", instance->weights);
        GwEvent_Text(p->options.log, "state",
                     state->down        ? "down"
                     : state->switching ? "switching"
                     : state->preparing ? "preparing"
                                        : "serving");
        GwEvent_End(p->options.log);
    }
    switching_since = instance->agent_report.switching
                          ? instance->agent_report.switching_since
                          : GwTime_Now();
    if (!state->switching)
        switching_since = 0;
    instance->agent_report = (GwAgentReport){
        .at = GwTime_Now(),
        .preparing = state->preparing,
        .switching = state->switching,
        .down = state->down,
        .others_tokens = state->others_tokens,
        // An agent of an older version does not report the urgent tokens.
        .others_urgent = state->has_others_urgent
                             ? MIN(state->others_urgent, state->others_tokens)
                             : state->others_tokens,
        .others_yielding = state->others_yielding,
        .others_yielding_memory = state->others_yielding_memory,
        .running = state->running,
        .queued = state->queued,
        .kv_used = state->kv_used,
        .kv_total = state->kv_total,
        .switching_since = switching_since,
        .prefill_tokens_per_ms = state->prefill_tokens_per_s / 1000.0,
        .switch_time = state->switch_ms * GW_MILLISECOND,
    };
    log_speed_(p, &instance->speed, instance->id,
               instance->agent_report.prefill_tokens_per_ms);
    if (went_down && p->options.on_engine_down != NULL)
        p->options.on_engine_down(p->options.user, instance);
}

unsigned
GwPeersEngine_CountEntries(const GwPeers *p)
{
    const Peer *peer;
    unsigned n = 0;

    TAILQ_FOREACH(peer, &p->peers, link)
    n += is_following_entry_(peer) && GwSession_IsReady(peer->session);
    return n;
}

// Whether the peer is an entry that follows this agent's engine, which means
// that it sends requests to the engine.
static bool
is_following_entry_(const Peer *peer)
{
    return peer->is_entry && !peer->owner_only;
}

// Sends the peer the engine's state and, of the tokens @p all that entries
// wait for, those that other entries than this peer wait for.
static void
send_engine_state_(GwPeers *p, Peer *peer, const GwWaitingTokens *all)
{
    GW_FRAME(frame, state, ENGINE_STATE, EngineState, engine_state);
    GwWaitingTokens others = GwWaitingTokens_Without(all, &peer->load);

    state.instance = p->engine_id;
    state.incarnation = p->engine.incarnation;
    state.weights = p->engine.weights;
    state.preparing = p->engine.preparing;
    state.switching = p->engine.switching;
    state.down = p->engine.down;
    state.running = p->engine.running;
    state.queued = p->engine.queued;
    state.kv_used = p->engine.kv_used;
    state.kv_total = p->engine.kv_total;
    state.switch_ms = (uint32_t)(p->engine.switch_time / GW_MILLISECOND);
    state.prefill_tokens_per_s = tokens_per_s_(&p->engine_speed);
    state.entries = GwPeersEngine_CountEntries(p);
    peer->load.sent_others = others;
    peer->state_sent_at = GwTime_Now();
    state.others_tokens = others.tokens;
    state.others_urgent = others.urgent;
    state.has_others_urgent = true;
    state.others_yielding = others.yielding;
    state.others_yielding_memory = others.yielding_memory;
    GwSession_Send(peer->session, &frame);
}

static void
send_cached_parts_(GwPeers *p, Peer *peer, const GwCachedPartChange *list,
                   size_t n)
{
    GwLocalCache cache = {p->engine_id, p->engine.incarnation,
                          p->own_cached_parts};

    if (p->has_engine && p->own_cached_parts != NULL)
        GwCacheSync_Send(&peer->cache_sync, peer->session, &cache, list, n);
}

// Sends the engine's state to each entry for which the load of the other
// entries has changed enough since it was last sent.
static void
send_changed_loads_(GwPeers *p)
{
    GwWaitingTokens all = sum_waiting_tokens_(p);
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        GwWaitingTokens others = GwWaitingTokens_Without(&all, &peer->load);

        if (!is_following_entry_(peer) || !GwSession_IsReady(peer->session))
            continue;
        if (GwEntryLoad_ShouldNotify(&peer->load, &others))
            send_engine_state_(p, peer, &all);
    }
}

// Sum of the prompt tokens for which the connected entries wait at this
// agent's engine.
static GwWaitingTokens
sum_waiting_tokens_(const GwPeers *p)
{
    const Peer *peer;
    GwWaitingTokens sum = {0};

    TAILQ_FOREACH(peer, &p->peers, link)
    GwWaitingTokens_Add(&sum, &peer->load);
    return sum;
}

// A peer that sends no incarnation, such as one of an older version during a
// rolling upgrade, is taken to refer to the known incarnation. Otherwise all
// its messages would be ignored as long as versions are mixed.
static bool
is_stale_incarnation_(int64_t received, int64_t known)
{
    return received != 0 && received < known;
}

// Adds the first bytes that an entry has received. Those that are no samples
// show by fewer waiting tokens that the engine was busy until now.
static void
add_speed_sample_(GwPeers *p, const GwEntryLoad *before,
                  const Gw__Wire__PrefillNote *note)
{
    GwTime now = GwTime_Now();
    GwSpeedSample sample = {
        .tokens = note->sample_tokens,
        .running = p->engine.running,
        .elapsed = (GwTime)MIN(note->sample_us, G_MAXINT64),
    };

    if (note->sample_tokens > 0)
        GwEngineSpeed_AddFirstByte(&p->engine_speed, &sample, now);
    else if (note->tokens < before->own.tokens)
        GwEngineSpeed_NoteFirstByte(&p->engine_speed, now);
}

// Logs the measured speed of an engine if it has changed notably.
static void
log_speed_(GwPeers *p, GwEngineSpeed *speed, const char *instance,
           double tokens_per_ms)
{
    GwEventLog *log = p->options.log;

    if (!GwEngineSpeed_ShouldLog(speed, tokens_per_ms, GwTime_Now()))
        return;
    GwEvent_Begin(log, "engine_speed", NULL);
    GwEvent_Text(log, "instance", instance);
    GwEvent_Real(log, "prefill_tokens_per_ms", tokens_per_ms);
    GwEvent_Text(log, "learned_from",
                 p->options.is_agent ? "entries" : "agent");
    GwEvent_End(log);
}

// Measured prefill speed; 0: unknown.
static uint32_t
tokens_per_s_(const GwEngineSpeed *speed)
{
    return (uint32_t)(GwEngineSpeed_TokensPerMs(speed, GwTime_Now()) * 1000);
}
