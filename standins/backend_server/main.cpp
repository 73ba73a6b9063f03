// Stand-in for one member of a backend server group, used by the tests and the demonstration.
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>

#include <getopt.h>

#include "client_connection.h"

namespace standin {
namespace {

struct program_options
{
    std::string id = "server";
    std::string listen = "127.0.0.1:6001";
    std::string password = "backend";
    std::string dataFolder;
    std::string recordFile;
    bool primary = false;
    int slots = 5;
    int connections = 30;
    double connectMs = 12;
    double statementMs = 0.5;
};

constexpr double millisecondsPerSecond = 1000.0;

constexpr const char *usage = R"(Usage: standin-backend-server [OPTION]...
One member of a backend server group, for tests.
  --id NAME           name of the member
  --listen IP:PORT    address for clients and replication
  --password TEXT     password of the proxy's role
  --data DIR          keeps log and term here over a restart
  --primary           starts as primary of term 1 when its log is empty
  --slots N           statements that run at once (5)
  --connections N     sessions at once (30)
  --connect-ms MS     cost of a new connection (12)
  --statement-ms MS   time that a statement holds a slot (0.5)
  --record FILE       appends every byte received, to search it
  --help
)";

program_options parseOptions(int argc, char **argv)
{
    const option names[] = {{"id", required_argument, nullptr, 'i'},
                            {"listen", required_argument, nullptr, 'l'},
                            {"password", required_argument, nullptr, 'p'},
                            {"data", required_argument, nullptr, 'd'},
                            {"primary", no_argument, nullptr, 'P'},
                            {"slots", required_argument, nullptr, 's'},
                            {"connections", required_argument, nullptr, 'c'},
                            {"connect-ms", required_argument, nullptr, 'C'},
                            {"statement-ms", required_argument, nullptr, 'S'},
                            {"record", required_argument, nullptr, 'r'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
    program_options options;
    for (int code = 0; (code = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        switch (code) {
        case 'i':
            options.id = optarg;
            break;
        case 'l':
            options.listen = optarg;
            break;
        case 'p':
            options.password = optarg;
            break;
        case 'd':
            options.dataFolder = optarg;
            break;
        case 'P':
            options.primary = true;
            break;
        case 's':
            options.slots = std::atoi(optarg);
            break;
        case 'c':
            options.connections = std::atoi(optarg);
            break;
        case 'C':
            options.connectMs = std::atof(optarg);
            break;
        case 'S':
            options.statementMs = std::atof(optarg);
            break;
        case 'r':
            options.recordFile = optarg;
            break;
        case 'h':
            std::cout << usage;
            std::exit(EXIT_SUCCESS);
        default:
            std::cerr << usage;
            std::exit(EXIT_FAILURE);
        }
    }
    return options;
}

/** \brief Folder for the database file: the data folder, or a temporary folder that the destructor
 * removes.
 */
class database_folder
{
public:
    explicit database_folder(const std::string &dataFolder)
        : m_path(dataFolder)
    {
        if (!m_path.empty()) {
            std::filesystem::create_directories(m_path);
            return;
        }
        m_path = (std::filesystem::temp_directory_path() / "standin-XXXXXX").string();
        if (::mkdtemp(m_path.data()) == nullptr)
            throw sycamorespan::error("cannot make a temporary folder");
        m_isTemporary = true;
    }
    database_folder(const database_folder &) = delete;
    database_folder &operator=(const database_folder &) = delete;
    ~database_folder()
    {
        std::error_code ignored;
        if (m_isTemporary)
            std::filesystem::remove_all(m_path, ignored);
    }

    const std::string &path() const noexcept { return m_path; }

private:
    std::string m_path;
    bool m_isTemporary = false;
};

/** \brief Member of a group with its listener and its sessions. */
class backend_server
{
public:
    backend_server(ev::loop_ref loop, const program_options &options)
        : m_databaseFolder(options.dataFolder)
        , m_member({options.id, options.dataFolder, m_databaseFolder.path(), options.primary})
        , m_replication(loop, m_member, {options.password})
        , m_queue(loop, options.slots)
        , m_context(makeConnectionContext(loop, options))
        , m_cleanupTimer(loop)
        , m_listener(loop, sycamorespan::parseEndpoint(options.listen),
                     [this](sycamorespan::file_descriptor socket) { accept(std::move(socket)); })
    {
        if (!options.recordFile.empty())
            m_recordStream.open(options.recordFile, std::ios::app | std::ios::binary);
        m_cleanupTimer.set<backend_server, &backend_server::removeClosedSessions>(this);
        m_member.onDataReplaced = [this] { abortTransactions(); };
        m_member.onRoleChanged = [this] {
            abortTransactions();
            m_replication.reset();
        };
        m_member.onLockReleased = [this] {
            m_lockReleased = true;
            m_cleanupTimer.start(0.0);
        };
    }

private:
    struct session
    {
        std::unique_ptr<client_connection> connection;
        bool closed = false;
    };

    connection_context makeConnectionContext(ev::loop_ref loop, const program_options &options)
    {
        return {loop,
                m_member,
                m_replication,
                m_queue,
                options.password,
                options.connectMs / millisecondsPerSecond,
                options.statementMs / millisecondsPerSecond,
                [this](std::string_view bytes) { record(bytes); },
                [this] { return countSessions(); },
                options.connections,
                [this](const std::string &name) { return endSessions(name); },
                [this](std::int32_t processId, std::int32_t secret) {
                    cancelSession(processId, secret);
                }};
    }

    void accept(sycamorespan::file_descriptor socket)
    {
        auto &added = m_sessions.emplace_back();
        added.connection = std::make_unique<client_connection>(m_context, std::move(socket),
                                                               ++m_lastProcessId, [this, &added] {
                                                                   added.closed = true;
                                                                   m_cleanupTimer.start(0.0);
                                                               });
    }

    void removeClosedSessions(ev::timer &, int)
    {
        std::erase_if(m_sessions, [](const session &entry) { return entry.closed; });
        if (!std::exchange(m_lockReleased, false))
            return;
        std::ranges::for_each(m_sessions,
                              [](session &entry) { entry.connection->retryBlockedStatement(); });
    }

    void record(std::string_view bytes)
    {
        if (!m_recordStream.is_open())
            return;
        m_recordStream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        m_recordStream.flush();
    }

    int countSessions() const
    {
        return static_cast<int>(std::ranges::count_if(m_sessions, [](const session &entry) {
            return !entry.closed && entry.connection->isSession();
        }));
    }

    int endSessions(const std::string &applicationName)
    {
        int ended = 0;
        for (auto &entry : m_sessions) {
            if (entry.closed || entry.connection->applicationName() != applicationName)
                continue;
            entry.connection->terminate();
            ++ended;
        }
        return ended;
    }

    void cancelSession(std::int32_t processId, std::int32_t secret)
    {
        const auto found = std::ranges::find_if(m_sessions, [&](const session &entry) {
            return entry.connection->processId() == processId
                   && entry.connection->secret() == secret;
        });
        if (found != m_sessions.end())
            found->connection->cancelStatement();
    }

    void abortTransactions()
    {
        std::ranges::for_each(m_sessions,
                              [](session &entry) { entry.connection->abortTransaction(); });
    }

    database_folder m_databaseFolder;
    group_member m_member;
    replication_client m_replication;
    work_queue m_queue;
    std::ofstream m_recordStream;
    connection_context m_context;
    std::list<session> m_sessions;
    bool m_lockReleased = false;
    std::int32_t m_lastProcessId = 0;
    ev::timer m_cleanupTimer;
    sycamorespan::tcp_listener m_listener;
};

void stopLoop(ev::sig &watcher, int)
{
    watcher.loop.break_loop(ev::ALL);
}

} // namespace
} // namespace standin

int main(int argc, char **argv)
{
    const auto options = standin::parseOptions(argc, argv);
    try {
        ev::default_loop loop;
        const standin::backend_server server(loop, options);
        std::cout << "ready " << options.listen << std::endl;
        ev::sig onTerminate(loop);
        onTerminate.set<&standin::stopLoop>();
        onTerminate.start(SIGTERM);
        loop.run();
    } catch (const std::exception &problem) {
        std::cerr << "standin-backend-server: " << problem.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
