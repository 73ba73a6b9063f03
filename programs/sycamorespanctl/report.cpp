#include "programs/sycamorespanctl/report.h"

#include "sycamorespan/Core"

namespace sycamorespan::ctl {

namespace {

using namespace configuration;

report reportConflict(const edit_conflict &conflict)
{
    const auto text = "refused, not run: version " + std::to_string(conflict.current)
                      + " is in the table, expected " + std::to_string(conflict.expected)
                      + "; changed since:\n" + describe(conflict.changes);
    return {exit_status::conflict,
            text,
            {{"result", "conflict"},
             {"expected_version", conflict.expected},
             {"current_version", conflict.current},
             {"changes", toJson(conflict.changes)}}};
}

} // namespace

std::string describe(const std::vector<configuration_change> &changes)
{
    std::string text;
    for (const auto &[path, before, after] : changes) {
        text += "  " + path + ": ";
        text += before.empty() ? "(absent)" : before;
        text += " -> ";
        text += after.empty() ? "(absent)" : after;
        text += '\n';
    }
    return text;
}

nlohmann::json toJson(const std::vector<configuration_change> &changes)
{
    auto result = nlohmann::json::array();
    for (const auto &[path, before, after] : changes)
        result.push_back({{"path", path}, {"before", before}, {"after", after}});
    return result;
}

report reportEdit(const edit_action &result)
{
    return std::visit(
            overloaded{
                    [](const edit_accepted &accepted) {
                        return report{exit_status::success,
                                      "accepted as version " + std::to_string(accepted.version)
                                              + '\n',
                                      {{"result", "accepted"}, {"version", accepted.version}}};
                    },
                    [](const edit_conflict &conflict) { return reportConflict(conflict); },
                    [](const edit_refused &refused) {
                        return report{exit_status::failure,
                                      "refused, not run: " + refused.reason + '\n',
                                      {{"result", "refused"}, {"reason", refused.reason}}};
                    },
                    [](const edit_not_run &notRun) {
                        return report{exit_status::failure,
                                      "not run: " + notRun.reason + '\n',
                                      {{"result", "not_run"}, {"reason", notRun.reason}}};
                    },
                    [](const edit_outcome_unknown &unknown) {
                        return report{
                                exit_status::unknown,
                                "outcome unknown: the edit " + unknown.request
                                        + " may have been accepted\n",
                                {{"result", "outcome_unknown"}, {"request", unknown.request}}};
                    },
                    [](const auto &) {
                        return report{exit_status::failure, "", {}};
                    },
            },
            result);
}

} // namespace sycamorespan::ctl
