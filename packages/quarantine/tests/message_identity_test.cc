#include "galenagw/quarantine/message_identity.h"

#include <gtest/gtest.h>

#include <string>

static GwRequestIdentity
IdentityOf(const std::string &body, const char *account = "acme",
           const char *model = "chat")
{
    GwMessageSource source = {};

    source.digest.account = account;
    source.digest.method = "POST";
    source.digest.target = "/v1/chat/completions";
    source.digest.body = body.data();
    source.digest.body_len = body.size();
    source.model = model;
    return GwMessageIdentity_Of(&source);
}

static std::string
Chat(const std::string &first, const std::string &second,
     const std::string &last)
{
    return R"({"messages":[{"role":"system","content":")" + first +
           R"("},{"content":")" + second + R"(","role":"user"},)" +
           R"({"role":"user","content":")" + last + R"("}]})";
}

// A message is the same part in any prompt of the account and model, at any
// place but the last.
TEST(MessageIdentity, MessagesButTheLastAreParts)
{
    GwRequestIdentity a = IdentityOf(Chat("s", "x", "own 1"));
    GwRequestIdentity b = IdentityOf(Chat("t", "x", "own 2"));

    ASSERT_EQ(a.n_parts, 2u);
    ASSERT_EQ(b.n_parts, 2u);
    EXPECT_FALSE(GwDigest_Equal(&a.request, &b.request));
    EXPECT_FALSE(GwDigest_Equal(&a.parts[0], &b.parts[0]));
    EXPECT_TRUE(GwDigest_Equal(&a.parts[1], &b.parts[1]));
    b = IdentityOf(Chat("t", "x", "own 2"), "other");
    EXPECT_FALSE(GwDigest_Equal(&a.parts[1], &b.parts[1])) << "account";
    b = IdentityOf(Chat("t", "x", "own 2"), "acme", "large");
    EXPECT_FALSE(GwDigest_Equal(&a.parts[1], &b.parts[1])) << "model";
}

// Messages have further members, and contents that are no text.
TEST(MessageIdentity, AnyMemberOfAMessageCounts)
{
    auto part = [](const std::string &message) {
        return IdentityOf(R"({"messages":[)" + message + R"(,{}]})").parts[0];
    };
    const std::string plain = R"({"role":"user","content":"x"})";
    GwDigest first = part(plain);

    for (const char *other :
         {R"({"role":"system","content":"x"})",
          R"({"role":"user","content":"x","name":"n"})",
          R"({"role":"user","content":["x"]})", R"({"content":"x"})"}) {
        GwDigest digest = part(other);
        EXPECT_FALSE(GwDigest_Equal(&first, &digest)) << other;
    }
    GwDigest reordered = part(R"({"content":"x","role":"user"})");
    EXPECT_TRUE(GwDigest_Equal(&first, &reordered));
}

// Texts that begin alike share parts up to where they differ.
TEST(MessageIdentity, LeadingBytesOfATextAreParts)
{
    std::string shared(1500, 'x');
    GwRequestIdentity a = IdentityOf(R"({"prompt":")" + shared + R"( a"})");
    GwRequestIdentity b = IdentityOf(R"({"prompt":")" + shared + R"( b"})");
    GwRequestIdentity c = IdentityOf(R"({"prompt":"y)" + shared + R"("})");

    ASSERT_EQ(a.n_parts, 3u) << "256, 512 and 1024 bytes";
    ASSERT_EQ(b.n_parts, 3u);
    for (unsigned i = 0; i < 3; i++) {
        EXPECT_TRUE(GwDigest_Equal(&a.parts[i], &b.parts[i])) << i;
        EXPECT_FALSE(GwDigest_Equal(&a.parts[i], &c.parts[i])) << i;
    }
}

// Callers send any body, and calls to services have none of these members.
TEST(MessageIdentity, OtherBodiesHaveNoParts)
{
    for (const char *body :
         {"", "{", "[1]", "7", R"({"messages":{}})", R"({"messages":[]})",
          R"({"messages":[{"role":"user"}]})", R"({"prompt":7})",
          R"({"prompt":"short"})", R"({"id":"cabin"})"})
        EXPECT_EQ(IdentityOf(body).n_parts, 0u) << body;
    std::string many = R"({"messages":[)";
    for (int i = 0; i < 40; i++)
        many += R"({"content":")" + std::to_string(i) + R"("},)";
    EXPECT_EQ(IdentityOf(many + "{}]}").n_parts,
              (unsigned)GW_IDENTITY_PARTS_MAX);
}
