#include "sycamorespan/Configuration"
#include "sycamorespan/Settings"

#include <filesystem>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sycamorespan::settings {
namespace {

const std::filesystem::path examples = SYCAMORESPAN_EXAMPLES;

std::string errorsOf(const std::string &text)
{
    try {
        parseSettings<proxy_settings>(text, "proxy.yaml");
    } catch (const file_error &failure) {
        return failure.what();
    }
    return {};
}

const std::string validProxy = R"(instance: i1
data_centre: regina
listen: 127.0.0.1:5432
admin: 127.0.0.1:9101
agent: 127.0.0.1:7100
backend_password: "1234"
)";

TEST(settings_files, everyErrorIsNamedWithFileLineAndField)
{
    const std::string text = R"(instance: i1
listen: nowhere
admin: 127.0.0.1:9101
agent: 127.0.0.1:7100
backend_password: 1234
colour: red
limits:
  sessions: 0
  queue_deadline_ms: soon
log: {level: loud}
)";
    EXPECT_EQ(errorsOf(text), R"(proxy.yaml:1: data_centre: is missing
proxy.yaml:2: listen: must be an address of the form IP:port
proxy.yaml:5: backend_password: must be a string
proxy.yaml:6: colour: is not a known field
proxy.yaml:8: limits.sessions: must be from 1 to 1000000
proxy.yaml:9: limits.queue_deadline_ms: must be an integer
proxy.yaml:10: log.level: must be one of trace, debug, info, warning, error)");
}

TEST(settings_files, omittedSettingsHaveTheirDefaults)
{
    const auto settings = parseSettings<proxy_settings>(validProxy, "proxy.yaml");
    EXPECT_EQ(settings.backendPassword, "1234");
    EXPECT_EQ(settings.limits, proxy_limits());
    EXPECT_EQ(settings.limits.startupTimeout, std::chrono::seconds(5));
    EXPECT_EQ(settings.log.level, log_level::info);
    EXPECT_FALSE(settings.tls.has_value());
}

TEST(settings_files, aDuplicateKeyIsRejected)
{
    EXPECT_EQ(errorsOf(validProxy + "instance: i2\n"), "proxy.yaml:7: instance: duplicate key");
}

TEST(settings_files, textThatIsNotYamlIsRejectedWithItsLine)
{
    EXPECT_TRUE(errorsOf("instance: i1\nlisten: [1, 2\n").starts_with("proxy.yaml:"));
    EXPECT_EQ(errorsOf(""), "proxy.yaml:1: must be an object");
}

TEST(settings_files, exponentiallyExpandingAliasesAreRejected)
{
    std::string text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level < 12; ++level) {
        const auto below = "*a" + std::to_string(level - 1);
        text += "a" + std::to_string(level) + ": &a" + std::to_string(level) + " [";
        for (int copy = 0; copy < 9; ++copy)
            text += below + ", ";
        text += below + "]\n";
    }
    EXPECT_NE(errorsOf(text).find("nested too deep or too large"), std::string::npos);
}

TEST(settings_files, deepNestingIsRejected)
{
    constexpr std::size_t levels = 1'000'000;
    EXPECT_TRUE(errorsOf(std::string(levels, '[')).starts_with("proxy.yaml:"));
    EXPECT_TRUE(errorsOf("log: " + std::string(100, '[') + std::string(100, ']'))
                        .starts_with("proxy.yaml:1: the file is nested too deep"));
}

RC_GTEST_PROP(settings_files, arbitraryTextGivesAFileError, (const std::string &text))
{
    RC_ASSERT(errorsOf(text).starts_with("proxy.yaml:"));
}

RC_GTEST_PROP(settings_files, aChangedFileIsAcceptedOrGivesAFileError, ())
{
    auto text = validProxy;
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    const auto errors = errorsOf(text);
    RC_ASSERT(errors.empty() || errors.starts_with("proxy.yaml:"));
}

void loadExample(const std::string &name, const std::string &path)
{
    if (name.starts_with("proxy-"))
        loadSettings<proxy_settings>(path);
    else if (name.starts_with("agent-"))
        loadSettings<agent_settings>(path);
    else if (name == "ctl.yaml")
        loadSettings<ctl_settings>(path);
    else if (name == "lists.yaml")
        loadLists(path);
}

TEST(settings_files, theExamplesAreValid)
{
    std::size_t fileCount = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(examples)) {
        if (entry.path().extension() != ".yaml")
            continue;
        ++fileCount;
        EXPECT_NO_THROW(loadExample(entry.path().filename().string(), entry.path().string()))
                << entry.path();
    }
    constexpr std::size_t filesPerUser = 6 * 2 + 2;
    EXPECT_GE(fileCount, 2 * filesPerUser);
}

TEST(settings_files, theExamplesHaveTheUsersSizes)
{
    for (const auto &[user, connections] :
         {std::pair("brandon-hollow", 30U), std::pair("consorzio-gronda-padana", 50U)}) {
        const auto lists = loadLists((examples / user / "lists.yaml").string());
        EXPECT_EQ(lists.workspaces.size(), 8U);
        EXPECT_EQ(lists.groups.size(), 3U);
        std::set<data_centre_id> dataCentres;
        for (const auto &[database, group] : lists.groups) {
            EXPECT_EQ(group.members.size(), 3U);
            for (const auto &member : group.members) {
                EXPECT_EQ(member.slots, 5U);
                EXPECT_EQ(member.connections, connections);
                dataCentres.insert(member.dataCentre);
            }
        }
        EXPECT_EQ(dataCentres.size(), 4U);
    }
}

TEST(settings_files, inconsistentListsAreRejectedWithEveryError)
{
    const std::string text = R"(workspaces:
  shop: {plan: gold}
plans:
  silver: {databases: [sales, stock, sales], max_staleness_ms: 0, rate_per_second: 1, burst: 1}
groups:
  sales:
    members:
      - {server: a, address: "127.0.0.1:1", data_centre: regina, slots: 5, connections: 3}
      - {server: a, address: "127.0.0.1:1", data_centre: regina, slots: 5, connections: 30}
  empty: {members: []}
)";
    try {
        parseLists(text, "lists.yaml");
        FAIL() << "accepted";
    } catch (const file_error &failure) {
        EXPECT_STREQ(failure.what(), R"(lists.yaml:2: workspaces.shop.plan: unknown plan: gold
lists.yaml:4: plans.silver.databases[1]: unknown database: stock
lists.yaml:4: plans.silver.databases[2]: duplicate database: sales
lists.yaml:8: groups.sales.members[0].slots: must not be more than connections
lists.yaml:9: groups.sales.members[1].server: duplicate server: a
lists.yaml:9: groups.sales.members[1].address: duplicate address: 127.0.0.1:1
lists.yaml:10: groups.empty.members: must have at least one member)");
    }
}

} // namespace
} // namespace sycamorespan::settings
