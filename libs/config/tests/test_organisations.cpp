#include <config/route_table.h>

#include <gtest/gtest.h>

#include <limits>

using namespace orioledrum;

namespace
{

organisation makeOrganisation(const std::string &name, const std::vector<std::string> &keys)
{
    organisation result;
    result.name = name;
    for (const auto &key : keys) {
        result.keys.push_back(key_digest::of(key));
    }
    return result;
}

expected<std::shared_ptr<const route_table>> makeTable(std::vector<organisation> organisations)
{
    return route_table::create(1, {}, {}, {}, std::move(organisations));
}

} // namespace

// Guards against a key that finds another organisation than its holder, and against a prefix or an extension of a key that is accepted.
TEST(OrganisationTest, eachKeyFindsItsHolderOnly)
{
    const auto table =
        makeTable({makeOrganisation("a", {"key-a1", "key-a2"}), makeOrganisation("b", {"key-b"}), makeOrganisation("c", {})});
    ASSERT_TRUE(table) << table.error().describe();
    EXPECT_TRUE((*table)->requiresKeys());
    EXPECT_EQ((*table)->organisationOf("key-a1")->name, "a");
    EXPECT_EQ((*table)->organisationOf("key-a2")->name, "a");
    EXPECT_EQ((*table)->organisationOf("key-b")->name, "b");
    for (const char *unknown : {"", "key-a", "key-a11", "KEY-A1", "a", "c"}) {
        EXPECT_EQ((*table)->organisationOf(unknown), nullptr) << unknown;
    }
    EXPECT_EQ((*table)->findOrganisation("c")->name, "c");
    EXPECT_EQ((*table)->findOrganisation("d"), nullptr);
    EXPECT_TRUE((*table)->holdsKey(key_digest::of("key-b")));
    EXPECT_FALSE((*table)->holdsKey(key_digest::of("key-c")));
}

// Guards against a table without organisations that asks for keys, and one with an empty list that does not.
TEST(OrganisationTest, onlyATableWithOrganisationsRequiresKeys)
{
    EXPECT_FALSE((*route_table::create(1, {}, {}, {}))->requiresKeys());
    EXPECT_TRUE((*makeTable({}))->requiresKeys());
}

// Guards against two organisations that cannot be told apart, and against names that cannot be sent in a header field.
TEST(OrganisationTest, rejectsInvalidOrganisations)
{
    EXPECT_FALSE(makeTable({makeOrganisation("a", {"k"}), makeOrganisation("b", {"k"})}));
    EXPECT_FALSE(makeTable({makeOrganisation("a", {"k"}), makeOrganisation("a", {"l"})}));
    EXPECT_TRUE(makeTable({makeOrganisation("a", {"k", "k"})}));
    for (const char *name : {"", "a b", "a\r\nHost: x", "\x7f"}) {
        EXPECT_FALSE(makeTable({makeOrganisation(name, {"k"})})) << name;
    }
    for (const double invalid : {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        auto rate = makeOrganisation("a", {"k"});
        rate.requestsPerSecond = invalid;
        EXPECT_FALSE(makeTable({rate})) << invalid;
        auto burst = makeOrganisation("a", {"k"});
        burst.burst = invalid;
        EXPECT_FALSE(makeTable({burst})) << invalid;
    }
}

// Guards against a digest that changes on its way between hosts.
TEST(KeyDigestTest, hexTextIsTheDigest)
{
    const auto digest = key_digest::of("abc");
    EXPECT_EQ(digest.hex(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"); // FIPS 180-2, example B.1
    EXPECT_EQ(key_digest::fromHex(digest.hex()), digest);
    EXPECT_FALSE(key_digest::fromHex(digest.hex().substr(1)));
    EXPECT_FALSE(key_digest::fromHex(std::string(64, 'A')));
    EXPECT_FALSE(key_digest::fromHex(std::string(64, ' ')));
}
