#include "programs/common/daemon_main.h"
#include "programs/node/node.h"

#include <malloc.h>

namespace {

using namespace sycamorespan;

/** Size of the smallest block that is returned to the system at once when it is freed. */
constexpr int largeBlockBytes = 128 << 10;

/** \returns the log settings: text lines on standard output, which the platform collects. */
settings::log_settings nodeLogSettings()
{
    return {settings::log_level::info, settings::log_format::text};
}

void runNode(const std::string &path)
{
    setUpLogging(nodeLogSettings(), std::cout);
    std::signal(SIGPIPE, SIG_IGN);
    // A fixed threshold returns large buffers to the system as soon as they are freed.
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    ev::default_loop loop;
    node::node program(loop, platform::readSettings(path), path, programs::systemRandom());
    const auto stop = [&program] { program.stop(); };
    const signal_watcher terminate(loop, SIGTERM, stop);
    const signal_watcher interrupt(loop, SIGINT, stop);
    const signal_watcher reload(loop, SIGHUP, [&program] { program.reload(); });
    const signal_watcher dump(loop, SIGUSR1, [&program] { program.logState(); });
    loop.run();
}

void showHelp()
{
    std::cout << "usage: sycamorespan-node [--settings FILE] [--check-settings]\n"
                 "       sycamorespan-node --help | --version\n"
                 "FILE defaults to the value of SYCAMORESPAN_CONFIG, which the platform sets.\n"
                 "Signals: TERM and INT shut down gracefully, HUP reloads the settings, USR1 logs "
                 "the state.\n"
                 "Exit codes: 0 success, 1 error.\n";
}

} // namespace

int main(int argc, char **argv)
{
    using programs::daemon_command;
    try {
        const auto options = programs::readDaemonOptions(argc, argv);
        if (options.action == daemon_command::showHelp) {
            showHelp();
            return EXIT_SUCCESS;
        }
        if (options.action == daemon_command::showVersion) {
            std::cout << "sycamorespan-node " << SYCAMORESPAN_VERSION << '\n';
            return EXIT_SUCCESS;
        }
        const auto path =
                options.settingsFile.empty() ? platform::settingsPath() : options.settingsFile;
        if (path.empty())
            throw error("--settings is missing; see --help");
        if (options.action == daemon_command::checkSettings) {
            static_cast<void>(platform::readSettings(path));
            std::cout << "valid\n";
            return EXIT_SUCCESS;
        }
        runNode(path);
        return EXIT_SUCCESS;
    } catch (const std::exception &failure) {
        std::cerr << "sycamorespan-node: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
}
