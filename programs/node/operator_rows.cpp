#include "programs/node/operator_rows.h"

#include "platform/documents.h"

#include "sycamorespan/src/Core/error.h"
#include "sycamorespan/src/Core/json_revision.h"
#include "sycamorespan/src/Net/clock.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>

namespace sycamorespan::node {

namespace {

using nlohmann::json;

/** Time within which the store tells its followers of a change: many round trips. */
constexpr duration followerDelay = 500ms;

} // namespace

operator_rows::operator_rows(event_log &log, rejected_entries &rejected, bool followsEvacuations,
                             handlers callbacks)
    : m_log(log)
    , m_rejected(rejected)
    , m_followsEvacuations(followsEvacuations)
    , m_handlers(std::move(callbacks))
{ }

void operator_rows::apply(const platform::store_rows &content, bool isSnapshot)
{
    std::set<data_centre_id> requested;
    bool changed = false;
    for (const auto &row : content.rows) {
        const auto name = platform::evacuatedDataCentre(row.key);
        if (!m_followsEvacuations || !name)
            continue;
        const data_centre_id dataCentre(*name);
        const bool isUsable = row.deleted || isValid(dataCentre, row);
        if (isSnapshot && (isUsable || m_evacuations.contains(dataCentre)))
            requested.insert(dataCentre);
        if (!isSnapshot && isUsable)
            changed |= m_evacuations.put(dataCentre, !row.deleted, storeAfter(row.revision));
    }
    if (isSnapshot && m_followsEvacuations)
        changed = m_evacuations.replace(requested, content.revision);
    if (changed)
        announceEvacuations();
    // Statements that a first configuration lets in must not run where an evacuation forbids it.
    for (const auto &row : content.rows)
        if (row.key == platform::configurationKey && !row.deleted)
            decodeConfiguration(row.value, row.revision);
}

void operator_rows::fetchWith(document_fetcher &fetcher, const std::function<void()> &readStore)
{
    fetcher.add(configurationPath, {[this](const std::string &body) {
                                        if (!body.empty())
                                            decodeConfiguration(body, {});
                                    },
                                    readStore});
    fetcher.add(evacuationsPath,
                {[this, readStore](const std::string &body) { applyEvacuations(body, readStore); },
                 readStore});
}

void operator_rows::requestNewer(const fleet_news &news, document_fetcher &fetcher,
                                 const std::string &address) const
{
    if (news.configurationVersion > (m_directory ? m_directory->version : 0))
        fetcher.request(configurationPath, address);
    if (m_followsEvacuations && news.evacuationsRevision > m_evacuations.knownThrough())
        fetcher.request(evacuationsPath, address);
}

bool operator_rows::isLeftBehind(const fleet_news &news, time_point now)
{
    if (news.configurationVersion <= (m_directory ? m_directory->version : 0))
        return false;
    m_newerReportedAt = m_newerReportedAt.value_or(now);
    return now - *m_newerReportedAt > followerDelay;
}

void operator_rows::addTo(fleet_news &news) const
{
    news.configurationVersion = m_directory ? m_directory->version : 0;
    news.evacuationsRevision = m_evacuations.revision();
}

void operator_rows::decodeConfiguration(const std::string &document, row_revision revision)
{
    const auto now = suspendAwareNow();
    try {
        auto decoded = platform::decodeConfiguration(document);
        const auto version = decoded.directory.version;
        if (m_directory && version <= m_directory->version)
            return;
        m_directory = std::make_shared<service_directory>(std::move(decoded.directory));
        m_configuration = document;
        m_newerReportedAt.reset();
        m_rejected.note(decoded.rejected, version, now);
    } catch (const decode_error &failure) {
        m_log.write(line_importance::state, "configuration could not be decoded",
                    {{"error", failure.what()}, {"revision", textOf(revision)}}, now);
        return;
    }
    m_log.write(line_importance::state, "configuration in force",
                {{"version", std::to_string(m_directory->version)},
                 {"routes", std::to_string(m_directory->routes.size())},
                 {"keys", std::to_string(m_directory->keyOwners.size())}},
                now);
    m_handlers.onConfiguration(m_directory);
}

/** \returns whether the row requests an evacuation. One that does not is logged and counted. */
bool operator_rows::isValid(const data_centre_id &dataCentre, const platform::store_row &row)
{
    const bool isObject = json::parse(row.value, nullptr, false).is_object();
    if (isObject && !dataCentre.empty())
        return true;
    m_rejected.note("evacuations", row.key, storeAfter(row.revision),
                    isObject ? "names no data centre" : "not a JSON object", suspendAwareNow());
    return false;
}

std::string operator_rows::evacuationsDocument() const
{
    json names = json::array();
    std::ranges::for_each(m_evacuations.dataCentres(), [&](const data_centre_id &dataCentre) {
        names.push_back(dataCentre.str());
    });
    return json{{"revision", m_evacuations.revision()},
                {"known_through", m_evacuations.knownThrough()},
                {"data_centres", names}}
            .dump();
}

void operator_rows::applyEvacuations(const std::string &document,
                                     const std::function<void()> &readStore)
{
    bool changed = false;
    try {
        const auto fields = json::parse(document);
        std::set<data_centre_id> requested;
        for (const auto &name : fields.at("data_centres"))
            requested.emplace(name.get<std::string>());
        changed = m_evacuations.replace(requested,
                                        toRevision<store_revision>(fields.at("known_through")),
                                        toRevision<store_revision>(fields.at("revision")));
    } catch (const std::exception &failure) {
        m_log.write(line_importance::failure, "message from another instance could not be decoded",
                    {{"error", failure.what()}, {"path", evacuationsPath}}, suspendAwareNow());
        return readStore();
    }
    if (changed)
        announceEvacuations();
}

void operator_rows::announceEvacuations()
{
    const auto now = suspendAwareNow();
    const auto current = m_evacuations.dataCentres();
    const auto fieldsOf = [this](const data_centre_id &dataCentre) {
        return event_fields{{"data_centre", dataCentre.str()},
                            {"revision", textOf(m_evacuations.revision())}};
    };
    for (const auto &dataCentre : current)
        if (m_announced.insert(dataCentre).second)
            m_log.write(line_importance::state, "evacuation requested", fieldsOf(dataCentre), now);
    for (const auto &dataCentre : std::exchange(m_announced, current)) {
        if (!current.contains(dataCentre)) {
            m_completed.erase(dataCentre);
            m_log.write(line_importance::state, "evacuation withdrawn", fieldsOf(dataCentre), now);
        }
    }
    m_handlers.onEvacuations();
}

std::size_t operator_rows::connections() const
{
    return std::accumulate(m_announced.begin(), m_announced.end(), std::size_t{0},
                           [this](std::size_t sum, const data_centre_id &dataCentre) {
                               return sum + m_handlers.connectionsTo(dataCentre);
                           });
}

void operator_rows::tick(time_point now)
{
    for (const auto &dataCentre : m_announced) {
        if (m_completed.contains(dataCentre) || !m_handlers.hasLeft(dataCentre, now))
            continue;
        m_completed.insert(dataCentre);
        m_log.write(line_importance::state, "evacuation complete",
                    {{"data_centre", dataCentre.str()}}, now);
    }
}

} // namespace sycamorespan::node
