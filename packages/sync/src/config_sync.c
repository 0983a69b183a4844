#include "galenagw/sync/config_sync.h"

static void send_state_(GwConfigFeed *feed, GwSession *session);
static void apply_config_state_(GwConfigFeed *feed,
                                const Gw__Wire__ConfigState *state);

void
GwConfigSync_OnRevision(GwConfigFeed *feed, GwSession *session,
                        uint64_t revision)
{
    GW_FRAME(frame, request, CONFIG_ASK, ConfigAsk, config_ask);

    if (!GwConfigFeed_IsBehind(feed, revision, GwTime_Now()))
        return;
    request.have_revision = GwConfigFeed_Revision(feed);
    GwSession_Send(session, &frame);
}

bool
GwConfigSync_OnFrame(GwConfigFeed *feed, GwSession *session,
                     const GwFrame *frame)
{
    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_CONFIG_ASK:
        send_state_(feed, session);
        return true;
    case GW__WIRE__FRAME__BODY_CONFIG_STATE:
        apply_config_state_(feed, frame->config_state);
        return true;
    default:
        return false;
    }
}

static void
send_state_(GwConfigFeed *feed, GwSession *session)
{
    const GwStore *store = GwConfigFeed_Store(feed);
    size_t len;
    const char *text = GwConfigFeed_Document(feed, &len);
    GW_FRAME(frame, state, CONFIG_STATE, ConfigState, config_state);

    if (!GwStore_HasState(store))
        return;
    state.revision = GwStore_Revision(store);
    state.offset = GwStore_FoldedTo(store);
    state.document.data = (uint8_t *)text;
    state.document.len = len;
    GwSession_Send(session, &frame);
}

static void
apply_config_state_(GwConfigFeed *feed, const Gw__Wire__ConfigState *state)
{
    GwConfigFeed_RestoreFromPeer(feed, state->revision, state->offset,
                                 (const char *)state->document.data,
                                 state->document.len);
}
