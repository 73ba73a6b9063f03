#ifndef SYCAMORESPAN_STANDINS_PLATFORM_FAULT_SWITCHES_H
#define SYCAMORESPAN_STANDINS_PLATFORM_FAULT_SWITCHES_H

#include "sycamorespan/Core"

#include <nlohmann/json_fwd.hpp>

#include <compare>

namespace sycamorespan::standin {

/** \brief Faults that the platform simulates at present. */
struct fault_switches
{
    /** Every request is refused with HTTP status 503. */
    bool outage = false;
    /** Requests are kept without being run or answered, and are run when the freeze ends. */
    bool freeze = false;
    /** Delay between running a request and answering it. */
    duration delay{0};
    /** Number of next changes that take effect without an answer. */
    int loseAnswers = 0;
    /** Age of the instance list that readers get. */
    duration instanceListLag{0};

    auto operator<=>(const fault_switches &) const = default;
};

// NOLINTBEGIN(readability-identifier-naming): names that nlohmann::json looks for.
/** \brief Encodes the faults as an object with the members that applyChange() reads. */
void to_json(nlohmann::json &json, const fault_switches &faults);
// NOLINTEND(readability-identifier-naming)

/** \returns \a current with the members replaced that \a change contains.
 * \throws nlohmann::json::exception when a member has the wrong type
 */
fault_switches applyChange(const fault_switches &current, const nlohmann::json &change);

} // namespace sycamorespan::standin

#endif
