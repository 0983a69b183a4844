// How the agent fences a request id that an entry resumes and the agent does
// not have, over the protocol between entries and agents.
#include "entry_client.h"

// Failure: a request runs on two agents. An entry submits it, its session
// times out, and it sends Resume on a new one. The agent does not have the
// request id, so the entry sends the request to another agent. When the old
// connection then delivers the Submit, neither this attempt nor an earlier one
// may start here. A newer attempt may: the entry decided on it after the
// Resume.
TEST(Fence, ResumeOfAnUnknownIdFencesThatAttempt)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({});
    EntryClient old_connection, new_connection;

    ASSERT_TRUE(w.Ready());
    old_connection.Connect(w.loop, GwAgent_Port(a->agent));
    new_connection.Connect(w.loop, GwAgent_Port(a->agent));
    ASSERT_TRUE(
        w.Until([&] { return old_connection.ready && new_connection.ready; }));
    new_connection.Resume(7, 2);
    ASSERT_TRUE(w.Until([&] { return new_connection.known.size() == 1; }));
    EXPECT_FALSE(new_connection.known[0]);
    old_connection.Submit(7, 2);
    old_connection.Submit(7, 1);
    ASSERT_TRUE(w.Until([&] { return old_connection.refused.size() == 2; }));
    EXPECT_EQ(old_connection.refused[0], uint32_t{GW_REFUSAL_FENCED});
    EXPECT_EQ(old_connection.refused[1], uint32_t{GW_REFUSAL_FENCED});
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 0);
    new_connection.Submit(7, 3);
    ASSERT_TRUE(w.Until([&] { return new_connection.finals == 1; }));
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
    // The same attempt on another connection gets the answer of the same run.
    old_connection.Submit(7, 3);
    ASSERT_TRUE(w.Until([&] { return old_connection.finals == 1; }));
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
    GwSession_Close(old_connection.session);
    GwSession_Close(new_connection.session);
}
