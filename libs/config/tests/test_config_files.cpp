#include <config/config_files.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>

using namespace orioledrum;

namespace
{

class ConfigFolderTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "orioledrum-config-XXXXXX").string();
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        m_folder = pattern;
    }
    void TearDown() override { std::filesystem::remove_all(m_folder); }

    void write(const std::string &name, const std::string &text) const { std::ofstream(m_folder / name) << text; }

    std::filesystem::path m_folder;
};

using key_values = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

/// Builds a file set from generated values. Only 6 names and 3 texts are possible, so that two generated sets often share files.
config_files makeFiles(const key_values &values)
{
    config_files files;
    for (const auto &[name, text] : values) {
        files.insert_or_assign(std::to_string(name % 6) + ".json", std::string(text % 3, 'x'));
    }
    return files;
}

} // namespace

// Guards against reading editor backups and other files as configuration, and against dropping empty files.
TEST_F(ConfigFolderTest, ReadsOnlyJsonFiles)
{
    write("b.json", "{}");
    write("a.json", "");
    write("a.json~", "x");
    write("notes.txt", "x");
    std::filesystem::create_directory(m_folder / "c.json");
    const auto files = readConfigFolder(m_folder);
    ASSERT_TRUE(files) << files.error().describe();
    EXPECT_EQ(*files, (config_files{{"a.json", ""}, {"b.json", "{}"}}));
}

// Guards against treating an empty or missing folder as an empty configuration.
TEST_F(ConfigFolderTest, EmptyOrMissingFolderIsAnError)
{
    EXPECT_EQ(readConfigFolder(m_folder).error().code, error_code::invalidArgument);
    EXPECT_EQ(readConfigFolder(m_folder / "missing").error().code, error_code::invalidArgument);
}

// Guards against silently skipping a file that cannot be read.
TEST_F(ConfigFolderTest, UnreadableFileIsAnError)
{
    write("a.json", "{}");
    std::filesystem::create_symlink(m_folder / "nowhere", m_folder / "b.json");
    const auto files = readConfigFolder(m_folder);
    ASSERT_FALSE(files);
    EXPECT_EQ(files.error().peer, (m_folder / "b.json").string());
}

// Guards against a delta that does not reproduce the target, and against equal hashes of different file sets.
RC_GTEST_PROP(ConfigDelta, ApplyingTheDeltaYieldsTheTarget, (const key_values &left, const key_values &right))
{
    const auto from = makeFiles(left);
    const auto to = makeFiles(right);
    const auto result = applyDelta(from, deltaBetween(from, to), hashOf(to));
    RC_ASSERT(result.has_value());
    RC_ASSERT(*result == to);
    RC_ASSERT((hashOf(from) == hashOf(to)) == (from == to));
}

// Guards against applying a delta to a file set other than its base.
TEST(ConfigDelta, WrongBaseIsRejected)
{
    const config_files from{{"a.json", "1"}};
    const config_files to{{"a.json", "2"}};
    const auto result = applyDelta({{"a.json", "1"}, {"b.json", "1"}}, deltaBetween(from, to), hashOf(to));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().code, error_code::conflict);
}

// Guards against equal hashes when text moves between a name and its text or between files, and against a change of the hash
// between releases, which would make hosts of different versions report conflicts.
TEST(ConfigHash, DistinguishesNamesFromTextsAndIsStable)
{
    EXPECT_NE(hashOf({{"ab", "c"}}), hashOf({{"a", "bc"}}));
    EXPECT_NE(hashOf({{"a", "1"}, {"b", "2"}}), hashOf({{"a", "2"}, {"b", "1"}}));
    EXPECT_EQ(hashOf({}), 0U);
    EXPECT_EQ(hashOf({{"a.json", "{}"}}), 4010552434898384850U);
}
