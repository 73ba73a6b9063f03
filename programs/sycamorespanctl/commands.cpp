#include "programs/sycamorespanctl/commands.h"

#include "programs/sycamorespanctl/blocking_http.h"

#include "sycamorespan/Schema"

#include <iomanip>
#include <sstream>

namespace sycamorespan::ctl {

namespace {

using namespace configuration;

constexpr std::chrono::seconds editDeadline{15};
constexpr std::size_t positionSecretDigits = 64;
constexpr std::size_t requestIdDigits = 16;
constexpr int httpOk = 200;
constexpr int httpAccepted = 202;
constexpr int jsonIndent = 2;

std::string randomHexDigits(const random_source &random, std::size_t count)
{
    constexpr std::size_t digitsPerDraw = 16;
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    for (std::size_t drawn = 0; drawn < count; drawn += digitsPerDraw)
        text << std::setw(digitsPerDraw) << random();
    return text.str().substr(0, count);
}

report reportInvalidAddress(const std::string &address)
{
    return {exit_status::usage, address + " is not of the form IP:port\n", {{"result", "usage"}}};
}

/** \returns the configuration version in force according to \a state; 0 if there is none. */
configuration_version versionInForce(const nlohmann::json &state)
{
    const auto found = state.find("configuration_version");
    const bool isVersion = found != state.end() && found->is_number_unsigned();
    return isVersion ? found->get<configuration_version>() : 0;
}

} // namespace

commands::commands(const settings::ctl_settings &settings, random_source random)
    : m_settings(settings)
    , m_random(std::move(random))
    , m_store(settings.platform, settings.requestTimeout)
{ }

report commands::init(const std::string &fileName) const
{
    const auto lists = settings::loadLists(fileName);
    const auto secret = randomHexDigits(m_random, positionSecretDigits);
    const auto change = [&](const configuration_document &) {
        configuration_document document;
        document.lists = lists;
        document.positionSecret = secret;
        return document;
    };
    return reportEdit(run({newRequestId(), change, configuration_version(0)}));
}

report commands::showLists() const
{
    const auto document = m_store.currentDocument();
    const nlohmann::json json{{"version", document.version}, {"lists", toJson(document.lists)}};
    return {exit_status::success, json.dump(jsonIndent) + '\n', json};
}

report commands::edit(const std::string &fileName, std::optional<configuration_version> expected,
                      bool isDryRun) const
{
    const auto lists = settings::loadLists(fileName);
    const auto current = m_store.currentDocument();
    const auto change = [&lists](configuration_document document) {
        document.lists = lists;
        return document;
    };
    const auto changes = diffDocuments(current, change(current));
    if (isDryRun) {
        return {exit_status::success,
                "version " + std::to_string(current.version) + " would change:\n"
                        + describe(changes),
                {{"result", "dry_run"},
                 {"version", current.version},
                 {"changes", toJson(changes)}}};
    }
    auto result = reportEdit(run({newRequestId(), change, expected.value_or(current.version)}));
    if (result.status == exit_status::success) {
        result.text += describe(changes);
        result.json["changes"] = toJson(changes);
    }
    return result;
}

report commands::grantKey(const workspace_id &workspace) const
{
    const auto key = generateKey(m_random);
    const auto change = [&](const configuration_document &document) {
        return withKeyGranted(document, workspace, key.entry);
    };
    auto result = reportEdit(run({newRequestId(), change, std::nullopt}));
    if (result.status == exit_status::success) {
        result.text += "key " + key.entry.key + ", shown only now: " + key.text + '\n';
        result.json["key"] = key.entry.key;
        result.json["secret"] = key.text;
    }
    return result;
}

report commands::withdrawKey(const workspace_id &workspace, const std::string &key) const
{
    const auto change = [&](const configuration_document &document) {
        return withKeyWithdrawn(document, workspace, key);
    };
    return reportEdit(run({newRequestId(), change, std::nullopt}));
}

report commands::listKeys() const
{
    const auto document = m_store.currentDocument();
    report result{exit_status::success,
                  "",
                  {{"version", document.version}, {"keys", nlohmann::json::object()}}};
    for (const auto &[workspace, keys] : document.keys) {
        for (const auto &entry : keys) {
            result.text += workspace.str() + ' ' + entry.key + '\n';
            result.json["keys"][workspace.str()].push_back(entry.key);
        }
    }
    return result;
}

report commands::inForce() const
{
    const auto newest = m_store.currentDocument().version;
    report result{exit_status::success,
                  "accepted: version " + std::to_string(newest) + '\n',
                  {{"accepted", newest}, {"processes", nlohmann::json::array()}}};
    auto addresses = m_settings.agents;
    addresses.insert(addresses.end(), m_settings.proxies.begin(), m_settings.proxies.end());
    for (const auto &address : addresses) {
        const auto state = stateOf(address);
        const auto version = state ? versionInForce(*state) : 0;
        const std::string shown = state ? "version " + std::to_string(version) : "no answer";
        result.text += address;
        result.text += ": " + shown + '\n';
        result.json["processes"].push_back(
                {{"address", address}, {"answered", state.has_value()}, {"version", version}});
        if (version < newest)
            result.status = exit_status::notInForce;
    }
    return result;
}

report commands::state(const std::string &address) const
{
    if (!schema::isSocketAddress(address))
        return reportInvalidAddress(address);
    const auto found = stateOf(address);
    if (!found)
        return {exit_status::failure, address + " doesn't answer\n", {{"result", "no_answer"}}};
    return {exit_status::success, found->dump(jsonIndent) + '\n', *found};
}

report commands::drain(const std::string &address) const
{
    if (!schema::isSocketAddress(address))
        return reportInvalidAddress(address);
    const auto response =
            sendRequest("http://" + address, {"POST", "/drain", ""}, m_settings.requestTimeout);
    if (!response || response->status != httpAccepted)
        return {exit_status::failure, address + " didn't accept\n", {{"result", "no_answer"}}};
    return {exit_status::success, address + " is draining\n", {{"result", "draining"}}};
}

edit_action commands::run(edit_request request) const
{
    return runEdit(m_store, std::move(request), editDeadline);
}

std::string commands::newRequestId() const
{
    return randomHexDigits(m_random, requestIdDigits);
}

std::optional<nlohmann::json> commands::stateOf(const std::string &address) const
{
    const auto response =
            sendRequest("http://" + address, {"GET", "/state", ""}, m_settings.requestTimeout);
    if (!response || response->status != httpOk)
        return std::nullopt;
    auto state = nlohmann::json::parse(response->body, nullptr, false);
    if (!state.is_object())
        return std::nullopt;
    return state;
}

} // namespace sycamorespan::ctl
