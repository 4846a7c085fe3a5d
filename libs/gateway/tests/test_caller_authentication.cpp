#include <caller_authentication.h>

#include <config/route_table.h>

#include <gtest/gtest.h>

using namespace orioledrum;

namespace
{

std::shared_ptr<const route_table> makeTable(std::optional<std::vector<organisation>> organisations)
{
    return *route_table::create(1, {}, {}, {}, std::move(organisations));
}

const organisation member{"m", {key_digest::of("k")}, std::nullopt, 0, 0};

} // namespace

// Guards against a request without a valid key that reaches a backend server.
TEST(CallerAuthenticationTest, refusesAllButKnownKeys)
{
    const auto table = makeTable(std::vector{member});
    const route closed;
    const auto accepted = authenticate(*table, closed, {credential_kind::key, "k"});
    EXPECT_TRUE(accepted.accepted);
    ASSERT_NE(accepted.identity.member, nullptr);
    EXPECT_EQ(accepted.identity.member->name, "m");
    EXPECT_TRUE(accepted.identity.verified);
    for (const auto &credential : {caller_credential{},
                                   caller_credential{credential_kind::malformed, "k"},
                                   caller_credential{credential_kind::key, ""},
                                   caller_credential{credential_kind::key, "unknown"},
                                   caller_credential{credential_kind::key, std::string(8192, 'k')}}) {
        const auto refused = authenticate(*table, closed, credential);
        EXPECT_FALSE(refused.accepted);
        EXPECT_FALSE(refused.reason.empty());
        EXPECT_EQ(refused.refusal,
                  credential.kind == credential_kind::none            ? "noKey"
                      : credential.kind == credential_kind::malformed ? "malformedKey"
                                                                      : "unknownKey");
        EXPECT_EQ(refused.reason.find("kk"), std::string_view::npos);
    }
}

// Guards against a public route that asks for a key, and against a name that a caller gave itself there.
TEST(CallerAuthenticationTest, publicRoutesAcceptEveryCaller)
{
    const auto table = makeTable(std::vector{member});
    route open;
    open.isPublic = true;
    for (const auto &credential : {caller_credential{}, caller_credential{credential_kind::key, "unknown"}}) {
        const auto result = authenticate(*table, open, credential);
        EXPECT_TRUE(result.accepted);
        EXPECT_TRUE(result.identity.verified);
        EXPECT_EQ(result.identity.member, nullptr);
    }
    EXPECT_NE(authenticate(*table, open, {credential_kind::key, "k"}).identity.member, nullptr);
}

// Guards against deployments without organisations whose callers' header fields are changed.
TEST(CallerAuthenticationTest, withoutOrganisationsNothingIsChecked)
{
    const auto result = authenticate(*makeTable(std::nullopt), {}, {});
    EXPECT_TRUE(result.accepted);
    EXPECT_FALSE(result.identity.verified);
}

// Guards against requests that end although their key was not withdrawn, or go on although it was.
TEST(CallerAuthenticationTest, findsWithdrawnKeys)
{
    const auto key = key_digest::of("k");
    EXPECT_FALSE(isWithdrawn(key, *makeTable(std::vector{member})));
    EXPECT_TRUE(isWithdrawn(key, *makeTable(std::vector<organisation>())));
    EXPECT_FALSE(isWithdrawn(key, *makeTable(std::nullopt))) << "no keys are needed any more";
    EXPECT_FALSE(isWithdrawn(std::nullopt, *makeTable(std::vector{member}))) << "accepted on a public route";
}
