#include "sycamorespan/src/Net/http_client.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Net/loop_timer.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace sycamorespan {

namespace {

constexpr std::size_t maxResponseBytes = std::size_t{64} << 20;

/** \brief Initialises the process-wide state of libcurl once. */
class curl_library
{
public:
    static void initialise() { static const curl_library library; }

private:
    curl_library()
    {
        if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
            throw error("cannot initialise libcurl");
    }
};

std::size_t appendBody(char *bytes, std::size_t size, std::size_t count, void *body)
{
    auto &text = *static_cast<std::string *>(body);
    if (text.size() + size * count > maxResponseBytes)
        return 0;
    text.append(bytes, size * count);
    return size * count;
}

/** Records that an answer has begun. \a isAnswered points to a bool. */
std::size_t noteHeader(char *, std::size_t size, std::size_t count, void *isAnswered)
{
    *static_cast<bool *>(isAnswered) = true;
    return size * count;
}

/** Resets the connection of a request that has no answer, so that the kernel doesn't deliver its
 * bytes later. \a isAnswered points to a bool.
 */
int closeSocket(void *isAnswered, curl_socket_t socket)
{
    if (!*static_cast<const bool *>(isAnswered)) {
        const linger reset{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    return close(socket);
}

/** \returns the header fields of the answer to a finished request, with names in lower case. */
std::map<std::string, std::string> headersOf(CURL *request)
{
    std::map<std::string, std::string> headers;
    constexpr int lastRequest = -1;
    curl_header *header = nullptr;
    while ((header = curl_easy_nextheader(request, CURLH_HEADER, lastRequest, header))) {
        std::string name(header->name);
        std::ranges::transform(name, name.begin(),
                               [](unsigned char byte) { return std::tolower(byte); });
        headers.insert_or_assign(std::move(name), header->value);
    }
    return headers;
}

long toMilliseconds(duration value)
{
    return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

} // namespace

struct http_client::multi_handle
{
    CURLM *handle = curl_multi_init();

    multi_handle() = default;
    multi_handle(const multi_handle &) = delete;
    multi_handle &operator=(const multi_handle &) = delete;
    ~multi_handle() { curl_multi_cleanup(handle); }
};

struct http_client::pending_request
{
    CURLM *multi;
    CURL *easy;
    curl_slist *headers = nullptr;
    std::string requestBody;
    std::string responseBody;
    bool isAnswered = false; ///< whether the first line of the answer has arrived
    char errorText[CURL_ERROR_SIZE] = "";
    outcome_handler onOutcome;
    std::unique_ptr<loop_timer> answerTimer; ///< none if the answer has no time of its own

    pending_request(CURLM *multiHandle, std::string body, outcome_handler handler)
        : multi(multiHandle)
        , easy(curl_easy_init())
        , requestBody(std::move(body))
        , onOutcome(std::move(handler))
    { }
    pending_request(const pending_request &) = delete;
    pending_request &operator=(const pending_request &) = delete;
    ~pending_request()
    {
        curl_multi_remove_handle(multi, easy);
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }

    void prepare(const std::string &url, const http_request &request,
                 const http_timeouts &timeouts);
    http_outcome outcome(CURLcode code) const;
};

void http_client::pending_request::prepare(const std::string &url, const http_request &request,
                                           const http_timeouts &timeouts)
{
    const auto &method = request.method;
    headers = curl_slist_append(headers, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    std::ranges::for_each(request.headers, [this](const auto &header) {
        headers = curl_slist_append(headers, (header.first + ": " + header.second).c_str());
    });
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, toMilliseconds(timeouts.answer + timeouts.transfer));
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, errorText);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &responseBody);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &noteHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &isAnswered);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &isAnswered);
    if (method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(requestBody.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, requestBody.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

http_outcome http_client::pending_request::outcome(CURLcode code) const
{
    if (code == CURLE_OK) {
        long status = 0;
        char *contentType = nullptr;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &contentType);
        return http_response{static_cast<int>(status), contentType ? contentType : "", responseBody,
                             headersOf(easy)};
    }
    long sentBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    const std::string reason = errorText[0] != '\0' ? errorText : curl_easy_strerror(code);
    if (sentBytes == 0)
        return http_not_sent{reason};
    return http_unanswered{reason};
}

struct http_client::socket_watcher
{
    socket_watcher(http_client &owner, int socket)
        : client(owner)
        , watcher(owner.m_loop)
        , fd(socket)
    {
        watcher.set<socket_watcher, &socket_watcher::handleReady>(this);
    }

    void watch(int events)
    {
        watcher.stop();
        watcher.start(fd, events);
    }

    void handleReady(ev::io &, int events)
    {
        const int readable = (events & ev::READ) != 0 ? CURL_CSELECT_IN : 0;
        const int writable = (events & ev::WRITE) != 0 ? CURL_CSELECT_OUT : 0;
        client.processTransfers(fd, readable | writable);
    }

    http_client &client;
    ev::io watcher;
    int fd;
};

/** \brief Callbacks through which libcurl requests that sockets and a timer are watched. */
struct http_client::callbacks
{
    static int watchSocket(CURL *, curl_socket_t socket, int what, void *client, void *)
    {
        auto &sockets = static_cast<http_client *>(client)->m_sockets;
        if (what == CURL_POLL_REMOVE) {
            sockets.erase(socket);
            return 0;
        }
        auto &watcher = sockets[socket];
        if (!watcher)
            watcher = std::make_unique<socket_watcher>(*static_cast<http_client *>(client), socket);
        const int readable = (what & CURL_POLL_IN) != 0 ? ev::READ : 0;
        const int writable = (what & CURL_POLL_OUT) != 0 ? ev::WRITE : 0;
        watcher->watch(readable | writable);
        return 0;
    }

    static int watchTimer(CURLM *, long milliseconds, void *client)
    {
        auto &timer = static_cast<http_client *>(client)->m_timer;
        timer.stop();
        if (milliseconds >= 0)
            timer.start(toSeconds(std::chrono::milliseconds(milliseconds)));
        return 0;
    }
};

http_client::http_client(ev::loop_ref loop, std::string baseUrl, duration timeout)
    : m_loop(loop)
    , m_timer(loop)
    , m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
{
    curl_library::initialise();
    m_multi = std::make_unique<multi_handle>();
    m_timer.set<http_client, &http_client::handleTimer>(this);
    curl_multi_setopt(m_multi->handle, CURLMOPT_SOCKETFUNCTION, &callbacks::watchSocket);
    curl_multi_setopt(m_multi->handle, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi->handle, CURLMOPT_TIMERFUNCTION, &callbacks::watchTimer);
    curl_multi_setopt(m_multi->handle, CURLMOPT_TIMERDATA, this);
}

http_client::~http_client()
{
    m_requests.clear();
}

void http_client::send(const http_request &request, outcome_handler onOutcome)
{
    send(request, http_timeouts{m_timeout}, std::move(onOutcome));
}

void http_client::send(const http_request &request, const http_timeouts &timeouts,
                       outcome_handler onOutcome)
{
    auto pending =
            std::make_unique<pending_request>(m_multi->handle, request.body, std::move(onOutcome));
    pending->prepare(m_baseUrl + request.path, request, timeouts);
    CURL *easy = pending->easy;
    if (timeouts.transfer > duration::zero()) {
        pending->answerTimer = std::make_unique<loop_timer>(m_loop, [this, easy] {
            const auto known = m_requests.find(easy);
            if (known != m_requests.end() && !known->second->isAnswered)
                report(easy, CURLE_OPERATION_TIMEDOUT);
        });
        pending->answerTimer->startOnce(timeouts.answer);
    }
    m_requests.emplace(easy, std::move(pending));
    curl_multi_add_handle(m_multi->handle, easy);
}

void http_client::handleTimer(ev::timer &, int)
{
    processTransfers(CURL_SOCKET_TIMEOUT, 0);
}

void http_client::processTransfers(int socket, int events)
{
    int running = 0;
    curl_multi_socket_action(m_multi->handle, socket, events, &running);
    reportFinishedRequests();
}

void http_client::reportFinishedRequests()
{
    const std::weak_ptr<const bool> alive = m_alive;
    int remaining = 0;
    while (!alive.expired()) {
        const CURLMsg *message = curl_multi_info_read(m_multi->handle, &remaining);
        if (!message)
            return;
        if (message->msg != CURLMSG_DONE)
            continue;
        report(message->easy_handle, message->data.result);
    }
}

/** Removes a request and reports its outcome. */
void http_client::report(void *request, int code)
{
    auto finished = m_requests.extract(request);
    const auto outcome = finished.mapped()->outcome(static_cast<CURLcode>(code));
    const auto onOutcome = std::move(finished.mapped()->onOutcome);
    finished = {};
    onOutcome(outcome);
}

} // namespace sycamorespan
