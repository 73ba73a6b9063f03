#include "standins/platform/platform_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace sycamorespan::standin {

namespace {

constexpr std::string_view faultsPath = "/v1/faults";
constexpr std::string_view countersPath = "/v1/counters";
constexpr std::string_view transactionsPath = "/v1/transactions";
constexpr std::string_view instancesPath = "/v1/instances";
constexpr std::string_view objectsPrefix = "/v1/objects/";
constexpr std::string_view instancesPrefix = "/v1/instances/";

constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

http_response jsonResponse(const nlohmann::json &value)
{
    return {200, "application/json", value.dump()};
}

http_response errorResponse(int status, const std::string &reason)
{
    return {status, "application/json", nlohmann::json{{"error", reason}}.dump()};
}

bool isControlRequest(const http_request &request)
{
    return request.path == faultsPath || request.path == countersPath
           || request.path.starts_with(instancesPrefix);
}

web_limits serverLimits()
{
    web_limits limits;
    limits.maxMessageBytes = std::size_t{64} << 20;
    limits.maxWriteBufferBytes = std::size_t{128} << 20;
    limits.maxConnections = 4096;
    return limits;
}

} // namespace

platform_server::delayed_answer::delayed_answer(ev::loop_ref loop, http_responder responder,
                                                http_response answer)
    : timer(loop)
    , respond(std::move(responder))
    , response(std::move(answer))
{
    timer.set<delayed_answer, &delayed_answer::send>(this);
}

void platform_server::delayed_answer::send(ev::timer &, int)
{
    sent = true;
    respond(response);
}

platform_server::platform_server(ev::loop_ref loop, const endpoint &address)
    : m_loop(loop)
    , m_endpoint(loop, address, serverLimits(),
                 {{}, {}, {}, [this](const http_request &request, const http_responder &respond) {
                      handle(request, respond);
                  }})
{ }

void platform_server::handle(const http_request &request, const http_responder &respond)
{
    try {
        if (isControlRequest(request))
            respond(handleControl(request));
        else
            handleService(request, respond);
    } catch (const std::exception &failure) {
        respond(errorResponse(badRequest, failure.what()));
    }
}

void platform_server::handleService(const http_request &request, const http_responder &respond)
{
    if (m_faults.freeze) {
        m_frozenRequests.push_back({request, respond});
        return;
    }
    if (m_faults.outage) {
        ++m_counters.refused;
        answer(respond, errorResponse(serviceUnavailable, "outage"));
        return;
    }
    bool changed = false;
    const auto response = run(request, changed);
    if (changed && m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        ++m_counters.answersLost;
        respond.drop();
        return;
    }
    answer(respond, response);
}

void platform_server::answer(const http_responder &respond, const http_response &response)
{
    std::erase_if(m_delayedAnswers, [](const auto &delayed) { return delayed.sent; });
    if (m_faults.delay == duration::zero()) {
        respond(response);
        return;
    }
    auto &delayed = m_delayedAnswers.emplace_back(m_loop, respond, response);
    delayed.timer.start(toSeconds(m_faults.delay));
}

http_response platform_server::handleControl(const http_request &request)
{
    if (request.path == countersPath)
        return countersResponse();
    if (request.path != faultsPath)
        return changeInstances(request, request.path.substr(instancesPrefix.size()));
    if (request.method == "PUT")
        return changeFaults(request.body);
    return jsonResponse(m_faults);
}

http_response platform_server::changeFaults(const std::string &body)
{
    m_faults = applyChange(m_faults, nlohmann::json::parse(body));
    if (!m_faults.freeze) {
        const auto frozen = std::exchange(m_frozenRequests, {});
        std::ranges::for_each(frozen, [this](const frozen_request &entry) {
            handle(entry.request, entry.respond);
        });
    }
    return jsonResponse(m_faults);
}

http_response platform_server::changeInstances(const http_request &request, const std::string &name)
{
    if (request.method == "DELETE") {
        m_instances.remove(instance_id(name), monotonicNow());
        return jsonResponse(nlohmann::json::object());
    }
    const auto entry = nlohmann::json::parse(request.body).get<listed_instance>();
    if (request.method != "PUT" || entry.instance.str() != name)
        return errorResponse(badRequest, "the path and the entry name different instances");
    m_instances.put(entry, monotonicNow());
    return jsonResponse(entry);
}

http_response platform_server::countersResponse() const
{
    return jsonResponse({{"reads", m_counters.reads},
                         {"writes", m_counters.writes},
                         {"refused", m_counters.refused},
                         {"answers_lost", m_counters.answersLost},
                         {"frozen", m_frozenRequests.size()}});
}

http_response platform_server::run(const http_request &request, bool &changed)
{
    if (request.path == transactionsPath && request.method == "POST")
        return runTransaction(request.body, changed);
    if (request.path == instancesPath && request.method == "GET")
        return listInstances();
    if (request.path.starts_with(objectsPrefix)) {
        const auto name = request.path.substr(objectsPrefix.size());
        if (request.method == "GET")
            return readObject(name);
        if (request.method == "PUT")
            return writeObject(name, request.body, changed);
    }
    return errorResponse(notFound, "no such resource");
}

http_response platform_server::runTransaction(const std::string &body, bool &changed)
{
    const auto transaction = nlohmann::json::parse(body).get<table_transaction>();
    const auto result = m_table.run(transaction);
    changed = changesTable(result.succeeded ? transaction.success : transaction.failure);
    ++(changed ? m_counters.writes : m_counters.reads);
    return jsonResponse(result);
}

http_response platform_server::readObject(const std::string &name)
{
    ++m_counters.reads;
    const auto object = m_objects.find(name);
    if (object == m_objects.end())
        return errorResponse(notFound, "no such object");
    return {200, "application/octet-stream", object->second};
}

http_response platform_server::writeObject(const std::string &name, const std::string &bytes,
                                           bool &changed)
{
    ++m_counters.writes;
    changed = true;
    m_objects.insert_or_assign(name, bytes);
    return jsonResponse(nlohmann::json::object());
}

http_response platform_server::listInstances()
{
    ++m_counters.reads;
    const auto list = m_instances.at(monotonicNow() - m_faults.instanceListLag);
    return jsonResponse({{"instances", list.instances}});
}

} // namespace sycamorespan::standin
