#include "sycamorespan/src/Configuration/configuration_diff.h"

#include <map>

#include <nlohmann/json.hpp>

namespace sycamorespan::configuration {

namespace {

using flat_document = std::map<std::string, std::string>;

flat_document flatten(const configuration_document &document)
{
    nlohmann::json visible{{"lists", toJson(document.lists)}};
    for (const auto &[workspace, keys] : document.keys) {
        for (const auto &entry : keys)
            visible["keys"][workspace.str()][entry.key] = "granted";
    }
    flat_document result;
    const auto flat = visible.flatten();
    for (const auto &[path, value] : flat.items()) {
        if (!value.is_null()) // an empty object or array
            result.emplace(path, value.dump());
    }
    return result;
}

std::string valueAt(const flat_document &document, const std::string &path)
{
    const auto found = document.find(path);
    return found == document.end() ? std::string() : found->second;
}

} // namespace

std::vector<configuration_change> diffDocuments(const configuration_document &before,
                                                const configuration_document &after)
{
    const auto flatBefore = flatten(before);
    const auto flatAfter = flatten(after);
    auto paths = flatBefore;
    paths.insert(flatAfter.begin(), flatAfter.end());
    std::vector<configuration_change> result;
    for (const auto &[path, value] : paths) {
        configuration_change change{path, valueAt(flatBefore, path), valueAt(flatAfter, path)};
        if (change.before != change.after)
            result.push_back(std::move(change));
    }
    return result;
}

} // namespace sycamorespan::configuration
