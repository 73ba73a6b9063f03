#ifndef SYCAMORESPAN_STANDINS_PLATFORM_FAULT_SWITCHES_H
#define SYCAMORESPAN_STANDINS_PLATFORM_FAULT_SWITCHES_H

#include "sycamorespan/Core"

#include <nlohmann/json_fwd.hpp>

#include <compare>

namespace sycamorespan::standin {

/** \brief What is wrong with the platform at present. */
struct fault_switches
{
    /** Every request is refused by 503. */
    bool outage = false;
    /** Requests are neither run nor answered until the freeze ends; then they are run. */
    bool freeze = false;
    /** Wait between running a request and answering it. */
    duration delay{0};
    /** How many of the next changes take effect and get no answer. */
    int loseAnswers = 0;
    /** Age of the instance list that is shown. */
    duration instanceListLag{0};

    auto operator<=>(const fault_switches &) const = default;
};

// NOLINTBEGIN(readability-identifier-naming): names that nlohmann::json looks for.
void to_json(nlohmann::json &json, const fault_switches &faults);
// NOLINTEND(readability-identifier-naming)

/** \returns \a current with the members that \a change names replaced.
 * \throws nlohmann::json::exception when a member has the wrong type
 */
fault_switches changedBy(const fault_switches &current, const nlohmann::json &change);

} // namespace sycamorespan::standin

#endif
