#include "sycamorespan/Core"

#include "standins/platform/platform_server.h"

#include <ev++.h>
#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

constexpr const char *usage =
        "usage: standin-platform --listen IP:PORT\n"
        "Table service, object store and instance list in memory, for tests.\n"
        "Port 0 lets the system choose; the address is printed.\n";

struct options
{
    sycamorespan::endpoint listen{"127.0.0.1", 0};
};

/** \returns the options, or nothing when the usage text must be shown. */
std::optional<options> readOptions(int argc, char **argv)
{
    static constexpr option known[] = {
            {"listen", required_argument, nullptr, 'l'}, {"help", no_argument, nullptr, 'h'}, {}};
    options result;
    for (int name = 0; (name = getopt_long(argc, argv, "l:h", known, nullptr)) != -1;) {
        if (name != 'l')
            return std::nullopt;
        result.listen = sycamorespan::parseEndpoint(optarg);
    }
    return result;
}

void run(const options &settings)
{
    ev::default_loop loop;
    sycamorespan::standin::platform_server server(loop, settings.listen);
    const auto stop = [&loop] { loop.break_loop(ev::ALL); };
    sycamorespan::signal_watcher terminate(loop, SIGTERM, stop);
    sycamorespan::signal_watcher interrupt(loop, SIGINT, stop);
    std::cout << "listening on " << server.address().str() << std::endl; // NOLINT: read by tests
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
        std::cerr << "standin-platform: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
