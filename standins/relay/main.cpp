#include "standins/relay/relay.h"

#include <ev++.h>
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace sycamorespan;

constexpr const char *usage =
        "usage: standin-relay --target IP:PORT [--listen IP:PORT] [--control IP:PORT]\n"
        "Forwards TCP connections to the target, with faults on request, for tests.\n"
        "Port 0 lets the system choose; the addresses are printed.\n";

struct options
{
    endpoint listen{"127.0.0.1", 0};
    endpoint control{"127.0.0.1", 0};
    endpoint target;
};

/** \returns the options, or nothing when the usage text must be shown. */
std::optional<options> readOptions(int argc, char **argv)
{
    static constexpr option known[] = {{"listen", required_argument, nullptr, 'l'},
                                       {"control", required_argument, nullptr, 'c'},
                                       {"target", required_argument, nullptr, 't'},
                                       {"help", no_argument, nullptr, 'h'},
                                       {}};
    options result;
    for (int name = 0; (name = getopt_long(argc, argv, "l:c:t:h", known, nullptr)) != -1;) {
        if (name == 'l')
            result.listen = parseEndpoint(optarg);
        else if (name == 'c')
            result.control = parseEndpoint(optarg);
        else if (name == 't')
            result.target = parseEndpoint(optarg);
        else
            return std::nullopt;
    }
    if (result.target.port == 0)
        return std::nullopt;
    return result;
}

void run(const options &settings)
{
    ev::default_loop loop;
    standin::relay relay(loop, settings.listen, settings.target, settings.control);
    const auto stop = [&loop] { loop.break_loop(ev::ALL); };
    signal_watcher terminate(loop, SIGTERM, stop);
    signal_watcher interrupt(loop, SIGINT, stop);
    std::cout << "listening on " << relay.address().str() << '\n'
              << "control on " << relay.control().str() << std::endl; // NOLINT: read by tests
    loop.run();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto settings = readOptions(argc, argv);
        if (!settings) {
            std::cerr << usage;
            return EXIT_FAILURE;
        }
        run(*settings);
        return EXIT_SUCCESS;
    } catch (const std::exception &failure) {
        std::cerr << "standin-relay: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
