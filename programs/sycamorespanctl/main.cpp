#include "programs/sycamorespanctl/commands.h"

#include "sycamorespan/Core"

#include <getopt.h>
#include <openssl/rand.h>

#include <charconv>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace sycamorespan;
using ctl::exit_status;
using ctl::report;

constexpr const char *usage = R"(usage: sycamorespanctl --settings FILE [--json] COMMAND
       sycamorespanctl --settings FILE --check-settings
       sycamorespanctl --help | --version

Commands:
  init FILE                    make version 1 of the lists in FILE
  show lists                   show the lists in the table
  edit FILE [--expect-version N] [--dry-run]
                               replace the lists; refused if N is no longer the version
  key grant WORKSPACE          grant a key; it is shown only once
  key withdraw WORKSPACE KEY   withdraw a key by its identifier
  key list                     show the identifiers of the keys
  in-force                     show the version in force in each process
  drain ADDRESS                ask the process with this admin port for a graceful shutdown
  state ADDRESS                dump the state of the process with this admin port

Exit status: 0 done, 1 failed and nothing changed, 2 options, settings or a file are not valid,
3 another edit came first and nothing changed, 4 the edit may have been accepted,
5 some process doesn't have the accepted version in force.
)";

class usage_error : public error
{
public:
    using error::error;
};

struct options
{
    std::string settingsFile;
    std::optional<configuration::configuration_version> expectedVersion;
    bool isJson = false;
    bool isDryRun = false;
    bool isCheckOnly = false;
    bool isHelp = false;
    bool isVersion = false;
    std::vector<std::string> arguments;
};

configuration::configuration_version parseVersion(const std::string &text)
{
    configuration::configuration_version version = 0;
    const auto *end = text.data() + text.size();
    const auto [parsedUntil, failure] = std::from_chars(text.data(), end, version);
    if (failure != std::errc() || parsedUntil != end)
        throw usage_error("--expect-version needs a number");
    return version;
}

options readOptions(int argc, char **argv)
{
    static constexpr option knownOptions[] = {{"settings", required_argument, nullptr, 's'},
                                              {"expect-version", required_argument, nullptr, 'e'},
                                              {"json", no_argument, nullptr, 'j'},
                                              {"dry-run", no_argument, nullptr, 'n'},
                                              {"check-settings", no_argument, nullptr, 'c'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {"version", no_argument, nullptr, 'V'},
                                              {}};
    options result;
    for (int name = 0;
         (name = getopt_long(argc, argv, "s:e:jnchV", knownOptions, nullptr)) != -1;) {
        switch (name) {
        case 's':
            result.settingsFile = optarg;
            break;
        case 'e':
            result.expectedVersion = parseVersion(optarg);
            break;
        case 'j':
            result.isJson = true;
            break;
        case 'n':
            result.isDryRun = true;
            break;
        case 'c':
            result.isCheckOnly = true;
            break;
        case 'h':
            result.isHelp = true;
            break;
        case 'V':
            result.isVersion = true;
            break;
        default:
            throw usage_error("unknown option; see --help");
        }
    }
    result.arguments.assign(argv + optind, argv + argc);
    return result;
}

std::uint64_t cryptographicRandom()
{
    std::uint64_t value = 0;
    if (RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof value) != 1)
        throw error("OpenSSL has no random bytes");
    return value;
}

report execute(const ctl::commands &commands, const options &given)
{
    const auto &arguments = given.arguments;
    const auto isCommand = [&arguments](std::string_view first, std::size_t count) {
        return arguments.size() == count && arguments.front() == first;
    };
    if (isCommand("init", 2))
        return commands.init(arguments[1]);
    if (isCommand("show", 2) && arguments[1] == "lists")
        return commands.showLists();
    if (isCommand("edit", 2))
        return commands.edit(arguments[1], given.expectedVersion, given.isDryRun);
    if (isCommand("key", 3) && arguments[1] == "grant")
        return commands.grantKey(workspace_id(arguments[2]));
    if (isCommand("key", 4) && arguments[1] == "withdraw")
        return commands.withdrawKey(workspace_id(arguments[2]), arguments[3]);
    if (isCommand("key", 2) && arguments[1] == "list")
        return commands.listKeys();
    if (isCommand("in-force", 1))
        return commands.inForce();
    if (isCommand("state", 2))
        return commands.state(arguments[1]);
    if (isCommand("drain", 2))
        return commands.drain(arguments[1]);
    throw usage_error("unknown command; see --help");
}

report run(const options &given)
{
    if (given.isHelp)
        return {exit_status::success, usage, {{"usage", usage}}};
    if (given.isVersion)
        return {exit_status::success,
                "sycamorespanctl " SYCAMORESPAN_VERSION "\n",
                {{"version", SYCAMORESPAN_VERSION}}};
    if (given.settingsFile.empty())
        throw usage_error("--settings is missing; see --help");
    const auto settings = settings::loadSettings<settings::ctl_settings>(given.settingsFile);
    if (given.isCheckOnly)
        return {exit_status::success, "valid\n", {{"result", "valid"}}};
    return execute(ctl::commands(settings, &cryptographicRandom), given);
}

int fail(const options &given, exit_status status, const std::string &reason)
{
    if (given.isJson)
        std::cout << nlohmann::json{{"result", "failed"}, {"reason", reason}}.dump() << '\n';
    else
        std::cerr << "sycamorespanctl: " << reason << '\n';
    return static_cast<int>(status);
}

} // namespace

int main(int argc, char **argv)
{
    options given;
    try {
        given = readOptions(argc, argv);
        const auto result = run(given);
        std::cout << (given.isJson ? result.json.dump() + '\n' : result.text);
        return static_cast<int>(result.status);
    } catch (const usage_error &failure) {
        return fail(given, exit_status::usage, failure.what());
    } catch (const settings::file_error &failure) {
        return fail(given, exit_status::usage, failure.what());
    } catch (const std::exception &failure) {
        return fail(given, exit_status::failure, failure.what());
    }
}
