#ifndef SYCAMORESPAN_PROGRAMS_COMMON_DAEMON_MAIN_H
#define SYCAMORESPAN_PROGRAMS_COMMON_DAEMON_MAIN_H

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <ev++.h>
#include <getopt.h>
#include <openssl/rand.h>

#include "sycamorespan/Logging"
#include "sycamorespan/Net"
#include "sycamorespan/Settings"

namespace sycamorespan::programs {

/** \brief What the command line asks a daemon to do. */
enum class daemon_command { run, checkSettings, showHelp, showVersion };

/** \brief The parsed command line of a daemon. */
struct daemon_options
{
    daemon_command action = daemon_command::run;
    std::string settingsFile;
};

/** \brief Parses the command line of a daemon.
 * \throws error for an unknown option or an unexpected argument
 */
inline daemon_options readDaemonOptions(int argc, char **argv)
{
    static constexpr option knownOptions[] = {{"settings", required_argument, nullptr, 's'},
                                              {"check-settings", no_argument, nullptr, 'c'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {"version", no_argument, nullptr, 'V'},
                                              {}};
    daemon_options result;
    for (int name = 0; (name = getopt_long(argc, argv, "s:chV", knownOptions, nullptr)) != -1;) {
        switch (name) {
        case 's':
            result.settingsFile = optarg;
            break;
        case 'c':
            result.action = daemon_command::checkSettings;
            break;
        case 'h':
            result.action = daemon_command::showHelp;
            break;
        case 'V':
            result.action = daemon_command::showVersion;
            break;
        default:
            throw error("unknown option; see --help");
        }
    }
    if (optind != argc)
        throw error("unexpected argument; see --help");
    return result;
}

/** \returns a random source that uses OpenSSL's cryptographic generator. */
inline random_source systemRandom()
{
    return [] {
        std::uint64_t bits = 0;
        if (RAND_bytes(reinterpret_cast<unsigned char *>(&bits), sizeof bits) != 1)
            throw error("OpenSSL could not generate random bytes");
        return bits;
    };
}

/** \brief Runs \a Program until it stops its event loop.
 *
 * SIGTERM and SIGINT call its drain(), SIGUSR1 calls its logState().
 * \tparam Program  class that is constructed with the event loop, its settings and a
 *                  random_source, and that has drain() and logState()
 */
template<typename Program, typename Settings>
void runDaemon(const Settings &daemonSettings)
{
    setUpLogging(daemonSettings.log, std::cerr);
    std::signal(SIGPIPE, SIG_IGN);
    ev::default_loop loop;
    Program program(loop, daemonSettings, systemRandom());
    const auto drain = [&program] { program.drain(); };
    const signal_watcher terminate(loop, SIGTERM, drain);
    const signal_watcher interrupt(loop, SIGINT, drain);
    const signal_watcher dump(loop, SIGUSR1, [&program] { program.logState(); });
    loop.run();
}

/** \brief Implements the main function of a daemon.
 * \param name  name of the program
 * \returns 0 on success; 1 after an error, which is written to standard error
 */
template<typename Program, typename Settings>
int daemonMain(const std::string &name, int argc, char **argv)
{
    try {
        const auto options = readDaemonOptions(argc, argv);
        if (options.action == daemon_command::showHelp) {
            std::cout << "usage: " << name << " --settings FILE [--check-settings]\n       " << name
                      << " --help | --version\n"
                         "Signals: TERM and INT end gracefully, USR1 logs the state.\n"
                         "Exit codes: 0 success, 1 error.\n";
            return EXIT_SUCCESS;
        }
        if (options.action == daemon_command::showVersion) {
            std::cout << name << ' ' << SYCAMORESPAN_VERSION << '\n';
            return EXIT_SUCCESS;
        }
        if (options.settingsFile.empty())
            throw error("--settings is missing; see --help");
        const auto daemonSettings = settings::loadSettings<Settings>(options.settingsFile);
        if (options.action == daemon_command::checkSettings)
            std::cout << "valid\n";
        else
            runDaemon<Program>(daemonSettings);
        return EXIT_SUCCESS;
    } catch (const std::exception &failure) {
        std::cerr << name << ": " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}

} // namespace sycamorespan::programs

#endif
