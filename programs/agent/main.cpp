#include "programs/agent/agent.h"

#include <ev++.h>
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

namespace {

using namespace sycamorespan;

constexpr const char *usage = "usage: sycamorespan-agent --settings FILE [--check-settings]\n"
                              "       sycamorespan-agent --help | --version\n"
                              "Signals: TERM and INT end gracefully, USR1 logs the state.\n";

enum class command { run, checkSettings, showHelp, showVersion };

struct options
{
    command action = command::run;
    std::string settingsFile;
};

options readOptions(int argc, char **argv)
{
    static constexpr option known[] = {{"settings", required_argument, nullptr, 's'},
                                       {"check-settings", no_argument, nullptr, 'c'},
                                       {"help", no_argument, nullptr, 'h'},
                                       {"version", no_argument, nullptr, 'V'},
                                       {}};
    options result;
    for (int name = 0; (name = getopt_long(argc, argv, "s:chV", known, nullptr)) != -1;) {
        switch (name) {
        case 's':
            result.settingsFile = optarg;
            break;
        case 'c':
            result.action = command::checkSettings;
            break;
        case 'h':
            result.action = command::showHelp;
            break;
        case 'V':
            result.action = command::showVersion;
            break;
        default:
            throw error("unknown option; see --help");
        }
    }
    if (optind != argc)
        throw error("unexpected argument; see --help");
    return result;
}

random_source systemRandom()
{
    return [engine = std::mt19937_64(std::random_device{}())]() mutable { return engine(); };
}

void run(const settings::agent_settings &agentSettings)
{
    setUpLogging(agentSettings.log, std::cerr);
    ev::default_loop loop;
    agent::agent program(loop, agentSettings, systemRandom());
    const auto drain = [&program] { program.drain(); };
    signal_watcher terminate(loop, SIGTERM, drain);
    signal_watcher interrupt(loop, SIGINT, drain);
    signal_watcher dump(loop, SIGUSR1, [&program] { program.logState(); });
    loop.run();
}

settings::agent_settings loadSettings(const options &given)
{
    if (given.settingsFile.empty())
        throw error("--settings is missing; see --help");
    return settings::loadSettings<settings::agent_settings>(given.settingsFile);
}

void execute(const options &given)
{
    switch (given.action) {
    case command::showHelp:
        std::cout << usage;
        break;
    case command::showVersion:
        std::cout << "sycamorespan-agent " << SYCAMORESPAN_VERSION << '\n';
        break;
    case command::checkSettings:
        loadSettings(given);
        std::cout << "valid\n";
        break;
    case command::run:
        run(loadSettings(given));
        break;
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        execute(readOptions(argc, argv));
        return EXIT_SUCCESS;
    } catch (const std::exception &failure) {
        std::cerr << "sycamorespan-agent: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
