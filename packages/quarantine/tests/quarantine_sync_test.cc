#include "galenagw/quarantine/quarantine_sync.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

// A quarantine that receives frames, and counters of the updates that were
// new.
struct Receiver {
    Receiver()
    {
        q = GwQuarantine_New(&options);
    }
    ~Receiver()
    {
        GwQuarantine_Delete(q);
    }
    bool
    Receive(const GwFrame *frame)
    {
        static const GwQuarantineSyncOps ops = {OnUpdate, GroupSize};

        return GwQuarantineSync_OnFrame(q, nullptr, frame, &ops, this);
    }
    static void
    OnUpdate(void *user, GwSession *, const GwQuarantineUpdate *update)
    {
        Receiver *t = static_cast<Receiver *>(user);

        t->updates++;
        t->requests += update->termination.n_requests;
        t->parts += update->termination.n_parts;
        t->group_size = update->termination.group_size;
    }
    static unsigned
    GroupSize(void *, uint64_t)
    {
        return 77;
    }
    GwQuarantineOptions options = {};
    GwQuarantine *q;
    size_t updates = 0;
    size_t requests = 0;
    size_t parts = 0;
    unsigned group_size = 0;
};

struct TerminationFrame {
    TerminationFrame()
    {
        gw__wire__endpoint_end__init(&body);
        gw__wire__frame__init(&frame);
        frame.body_case = GW__WIRE__FRAME__BODY_ENDPOINT_END;
        frame.endpoint_end = &body;
        body.endpoint = 1;
        body.group = 2;
        body.group_size = 9;
        body.ended_ms = 10;
        SetRows(2, 2);
    }
    void
    SetRows(size_t n_accounts, size_t n_contents)
    {
        accounts.assign(n_accounts, 5);
        contents.resize(n_contents);
        for (size_t i = 0; i < n_contents; i++)
            contents[i] = 100 + i;
        body.accounts = accounts.data();
        body.n_accounts = n_accounts;
        body.contents = contents.data();
        body.n_contents = n_contents;
    }
    void
    SetParts(size_t n_scopes, size_t n_ids, size_t n_completed)
    {
        part_scopes.assign(n_scopes, 5);
        part_completed.assign(n_completed, 0);
        part_ids.resize(n_ids);
        for (size_t i = 0; i < n_ids; i++)
            part_ids[i] = 200 + i;
        body.part_scopes = part_scopes.data();
        body.n_part_scopes = n_scopes;
        body.part_ids = part_ids.data();
        body.n_part_ids = n_ids;
        body.part_completed = part_completed.data();
        body.n_part_completed = n_completed;
    }
    std::vector<uint64_t> accounts, contents;
    std::vector<uint64_t> part_scopes, part_ids, part_completed;
    Gw__Wire__EndpointEnd body;
    GwFrame frame;
};

// Frames of other versions, or of a faulty peer, may have any content. None
// may crash the process, exceed the memory bound, or count against requests
// that it does not name.
TEST(QuarantineSync, MalformedTerminationsAreAddedAsFarAsValid)
{
    const struct {
        const char *name;
        std::function<void(TerminationFrame *)> change;
        size_t updates, requests;
    } cases[] = {
        {"a valid frame", [](TerminationFrame *) {}, 1, 2},
        {"no requests", [](TerminationFrame *f) { f->SetRows(0, 0); }, 1, 0},
        {"a content is missing its account",
         [](TerminationFrame *f) { f->SetRows(1, 3); }, 1, 1},
        {"an account is missing its content",
         [](TerminationFrame *f) { f->SetRows(3, 1); }, 1, 1},
        {"only contents", [](TerminationFrame *f) { f->SetRows(0, 9); }, 1, 0},
        {"more than an endpoint runs",
         [](TerminationFrame *f) { f->SetRows(100000, 100000); }, 1,
         GW_TERMINATION_REQUESTS_MAX},
        {"one request twice",
         [](TerminationFrame *f) { f->contents[1] = 100; }, 1, 1},
        {"no endpoint", [](TerminationFrame *f) { f->body.endpoint = 0; }, 0,
         0},
        {"an age of UINT64_MAX",
         [](TerminationFrame *f) { f->body.ended_ms = UINT64_MAX; }, 0, 0},
        {"older than the retention",
         [](TerminationFrame *f) { f->body.ended_ms = 100000000; }, 0, 0},
        {"a group of size 0",
         [](TerminationFrame *f) { f->body.group_size = 0; }, 1, 2},
        {"a group of size UINT32_MAX",
         [](TerminationFrame *f) { f->body.group_size = UINT32_MAX; }, 1, 2},
    };

    for (const auto &c : cases) {
        Receiver t;
        TerminationFrame f;

        c.change(&f);
        EXPECT_TRUE(t.Receive(&f.frame)) << c.name;
        EXPECT_EQ(t.updates, c.updates) << c.name;
        EXPECT_EQ(t.requests, c.requests) << c.name;
        t.updates = t.requests = 0;
        EXPECT_TRUE(t.Receive(&f.frame)) << c.name;
        EXPECT_EQ(t.updates, 0u) << c.name << ", received again";
    }
}

// The same for parts, which versions without them do not send.
TEST(QuarantineSync, MalformedPartsAreAddedAsFarAsValid)
{
    const struct {
        size_t scopes, ids, completed, parts;
    } cases[] = {
        {0, 0, 0, 0}, {2, 2, 2, 2},
        {1, 3, 3, 1}, {3, 1, 3, 1},
        {3, 3, 0, 0}, {100000, 100000, 100000, GW_TERMINATION_PARTS_MAX}};

    for (const auto &c : cases) {
        Receiver t;
        TerminationFrame f;

        f.SetParts(c.scopes, c.ids, c.completed);
        EXPECT_TRUE(t.Receive(&f.frame));
        EXPECT_EQ(t.parts, c.parts) << c.ids;
        EXPECT_EQ(t.requests, 2u) << c.ids;
        t.updates = 0;
        EXPECT_TRUE(t.Receive(&f.frame));
        EXPECT_EQ(t.updates, 0u) << c.ids << ", received again";
    }
}

// Guards against refusing a harmless part at a process that has not seen it
// complete: the process that reports a termination has, and says so.
TEST(QuarantineSync, CompletionsOfPartsComeWithTerminations)
{
    for (uint64_t completed : {0, 1001}) {
        Receiver t;
        GwDigest part = {5, 200};

        for (uint64_t endpoint = 1; endpoint <= 4; endpoint++) {
            TerminationFrame f;

            f.SetRows(0, 0);
            f.SetParts(1, 1, 1);
            f.part_completed[0] = completed;
            f.body.endpoint = f.body.group = endpoint;
            f.body.ended_ms = 0;
            t.Receive(&f.frame);
        }
        EXPECT_EQ(GwQuarantine_TimeLeft(t.q, &part, GwTime_Now()) > 0,
                  completed == 0);
    }
}

TEST(QuarantineSync, ACompletionClearsReceivedTerminations)
{
    const struct {
        const char *name;
        uint64_t account, content, answered_ms;
        size_t updates;
    } cases[] = {
        {"just now", 5, 100, 0, 1},
        {"of another account", 6, 100, 0, 0},
        {"of another request", 5, 99, 0, 0},
        {"long before the termination", 5, 100, 60000, 0},
        {"an age of UINT64_MAX", 5, 100, UINT64_MAX, 0},
    };

    for (const auto &c : cases) {
        Receiver t;
        TerminationFrame f;
        GW_FRAME(frame, body, SOUND_REQUEST, SoundRequest, sound_request);

        t.Receive(&f.frame);
        t.updates = 0;
        body.account = c.account;
        body.content = c.content;
        body.answered_ms = c.answered_ms;
        EXPECT_TRUE(t.Receive(&frame)) << c.name;
        EXPECT_EQ(t.updates, c.updates) << c.name;
    }
}

// An agent does not know the size of its engine's group and sends 0; an entry,
// which knows all endpoints, fills it in.
TEST(QuarantineSync, AMissingGroupSizeIsFilledIn)
{
    const struct {
        unsigned sent, received;
    } cases[] = {{9, 9}, {0, 77}};

    for (const auto &c : cases) {
        Receiver t;
        TerminationFrame f;

        f.body.group_size = c.sent;
        t.Receive(&f.frame);
        EXPECT_EQ(t.group_size, c.received);
    }
}

TEST(QuarantineSync, OtherFramesAreNotHandled)
{
    Receiver t;
    GW_FRAME(frame, ping, PING, Ping, ping);

    (void)ping;
    EXPECT_FALSE(t.Receive(&frame));
}

// Frames with corrupted bytes, as from a faulty network or peer: those that
// still parse are added or ignored, and none crashes the process.
TEST(QuarantineSync, CorruptedFramesAreHarmless)
{
    g_autoptr(GByteArray) encoded = g_byte_array_new();
    GRand *rand = g_rand_new_with_seed(11);
    TerminationFrame f;
    Receiver t;

    f.SetRows(9, 9);
    f.SetParts(9, 9, 9);
    GwFrame_Encode(&f.frame, encoded);
    for (int i = 0; i < 20000; i++) {
        g_autoptr(GByteArray) bytes = g_byte_array_new();
        GwFrameDecoder *decoder = GwFrameDecoder_New();
        GwError err = {};

        g_byte_array_append(bytes, encoded->data, encoded->len);
        for (int k = g_rand_int_range(rand, 1, 5); k > 0; k--)
            bytes->data[g_rand_int_range(rand, GW_FRAME_LENGTH_BYTES,
                                         (gint32)bytes->len)] =
                (guint8)g_rand_int(rand);
        GwFrameDecoder_Push(decoder, bytes->data, bytes->len);
        GwFrame *frame = GwFrameDecoder_Pop(decoder, &err);
        if (frame != nullptr) {
            t.Receive(frame);
            GwFrame_Free(frame);
        }
        GwFrameDecoder_Delete(decoder);
    }
    size_t rows = 0;
    GwQuarantine_ForEach(
        t.q, SIZE_MAX,
        [](void *user, const GwEndpointTermination *) {
            ++*static_cast<size_t *>(user);
        },
        &rows);
    EXPECT_LE(rows, 16u * GW_QUARANTINE_REQUESTS_MAX);
    g_rand_free(rand);
}
