// For tests: an entry that sends the frames that the test asks for.
#ifndef GALENAGW_AGENT_TESTS_ENTRY_CLIENT_H
#define GALENAGW_AGENT_TESTS_ENTRY_CLIENT_H

#include "galenagw/fakes/world.h"
#include "galenagw/wire/session.h"

struct EntryClient {
    GwCounters counters = {};
    GwSession *session = nullptr;
    bool ready = false;
    const char *key = "";          // idempotency key of what is submitted
    std::vector<bool> known;       // of the ResumeResult frames received
    std::vector<uint32_t> refused; // reasons of the Refused frames received
    int finals = 0;                // Final frames received
    bool broken = false;           // of the last Final frame
    uint32_t next_seq = 0;         // of the next chunk
    size_t bytes = 0;              // of all chunks received
    uint32_t acked = 0;            // next_seq of the last Ack
    uint32_t ack_interval = 0;     // chunks between two Acks; 0: no Ack

    void
    Connect(GwLoop *loop, int port)
    {
        static const GwSessionOps ops = {
            [](void *u, GwSession *, const Gw__Wire__Hello *) {
                static_cast<EntryClient *>(u)->ready = true;
            },
            [](void *u, GwSession *, const GwFrame *f) {
                auto *c = static_cast<EntryClient *>(u);

                if (f->body_case == GW__WIRE__FRAME__BODY_RESUME_RESULT)
                    c->known.push_back(f->resume_result->known);
                if (f->body_case == GW__WIRE__FRAME__BODY_REFUSED)
                    c->refused.push_back(f->refused->refusal);
                if (f->body_case == GW__WIRE__FRAME__BODY_CHUNK)
                    c->OnChunk(f->chunk);
                if (f->body_case == GW__WIRE__FRAME__BODY_FINAL) {
                    c->finals++;
                    c->broken = f->final->broken;
                }
            },
            nullptr,
            [](void *, GwSession *, bool) {},
        };
        GwSessionOptions o = {};
        GwAddress address = {"127.0.0.1", port};

        o.fill_hello = [](void *, Gw__Wire__Hello *h) {
            h->instance = h->pool = h->failure_domain =
                const_cast<char *>("test");
        };
        o.ops = &ops;
        o.user = this;
        o.counters = &counters;
        session = GwSession_Connect(loop, &address, &o);
    }
    void
    OnChunk(const Gw__Wire__Chunk *chunk)
    {
        if (chunk->seq != next_seq)
            return;
        next_seq++;
        bytes += chunk->data.len;
        if (ack_interval == 0 || next_seq - acked < ack_interval)
            return;
        GW_FRAME(frame, ack, ACK, Ack, ack);

        ack.request_id = chunk->request_id;
        ack.attempt = chunk->attempt;
        ack.next_seq = acked = next_seq;
        GwSession_Send(session, &frame);
    }
    void
    Submit(uint64_t id, uint32_t attempt, const char *path = "/cabins",
           const char *body = "{\"id\":\"t\"}", bool stream = false)
    {
        GW_FRAME(frame, s, SUBMIT, Submit, submit);

        s.request_id = id;
        s.attempt = attempt;
        s.account = const_cast<char *>("desk");
        s.method = const_cast<char *>("POST");
        s.path = const_cast<char *>(path);
        s.content_type = const_cast<char *>("application/json");
        s.body.data = reinterpret_cast<uint8_t *>(const_cast<char *>(body));
        s.body.len = strlen(body);
        s.stream = s.idempotent = stream;
        s.key = const_cast<char *>(key);
        s.weights = const_cast<char *>("");
        GwSession_Send(session, &frame);
    }
    void
    Cancel(uint64_t id, uint32_t attempt)
    {
        GW_FRAME(frame, c, CANCEL, Cancel, cancel);

        c.request_id = id;
        c.attempt = attempt;
        GwSession_Send(session, &frame);
    }
    void
    Resume(uint64_t id, uint32_t attempt)
    {
        GW_FRAME(frame, r, RESUME, Resume, resume);

        r.request_id = id;
        r.attempt = attempt;
        r.next_seq = next_seq;
        GwSession_Send(session, &frame);
    }
};

#endif
