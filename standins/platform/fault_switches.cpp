#include "standins/platform/fault_switches.h"

#include <nlohmann/json.hpp>

namespace sycamorespan::standin {

namespace {

std::int64_t toMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

duration millisecondsOr(const nlohmann::json &change, const char *name, duration current)
{
    return std::chrono::milliseconds(change.value(name, toMilliseconds(current)));
}

} // namespace

void to_json(nlohmann::json &json, const fault_switches &faults)
{
    json = {{"outage", faults.outage},
            {"freeze", faults.freeze},
            {"delay_ms", toMilliseconds(faults.delay)},
            {"lose_answers", faults.loseAnswers},
            {"instance_list_lag_ms", toMilliseconds(faults.instanceListLag)}};
}

fault_switches applyChange(const fault_switches &current, const nlohmann::json &change)
{
    return {change.value("outage", current.outage), change.value("freeze", current.freeze),
            millisecondsOr(change, "delay_ms", current.delay),
            change.value("lose_answers", current.loseAnswers),
            millisecondsOr(change, "instance_list_lag_ms", current.instanceListLag)};
}

} // namespace sycamorespan::standin
