#include "programs/node/member_watch.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace sycamorespan::node {

namespace {

std::string withTwoDecimals(double value)
{
    const auto hundredths = std::llround(value * 100);
    const auto rest = std::to_string(hundredths % 100);
    return std::to_string(hundredths / 100) + (rest.size() < 2 ? ".0" : ".") + rest;
}

} // namespace

std::vector<server_load_report> reportOf(const std::vector<member_load> &loads)
{
    std::vector<server_load_report> reports;
    std::ranges::transform(loads, std::back_inserter(reports), [](const member_load &load) {
        return server_load_report{load.server, static_cast<std::uint32_t>(load.occupiedSlots),
                                  load.capacity};
    });
    return reports;
}

void member_watch::update(const std::vector<server_entry> &members, const fleet_table &fleet,
                          dispatcher &target, time_point now)
{
    std::ranges::for_each(members, [&](const server_entry &member) {
        target.setLoadOfOthers(member.id, fleet.statementsOfOthers(member.id),
                               fleet.reportedCapacity(member.id));
    });
    const auto capacities = target.memberCapacities(now);
    std::erase_if(m_lowered, [&](const server_id &id) { return !capacities.contains(id); });
    m_metrics.setMembers(capacities);
    std::ranges::for_each(members, [&](const server_entry &member) {
        if (const auto known = capacities.find(member.id); known != capacities.end())
            note(member, known->second, now);
    });
}

void member_watch::note(const server_entry &member, const member_capacity &capacity, time_point now)
{
    const auto slots = static_cast<double>(std::max<std::size_t>(member.slots, 1));
    const bool wasLowered = m_lowered.contains(member.id);
    const bool isLowered = capacity.limit <= std::max(slots / 2, 1.0);
    const bool isBack = capacity.limit >= slots;
    if (wasLowered ? !isBack : !isLowered || isBack)
        return;
    if (wasLowered)
        m_lowered.erase(member.id);
    else
        m_lowered.insert(member.id);
    m_log.write(line_importance::state,
                wasLowered ? "member takes its usual load again" : "member takes less than usual",
                {{"server", member.id.str()},
                 {"database", member.database.str()},
                 {"limit", withTwoDecimals(capacity.limit)},
                 {"slots", std::to_string(member.slots)},
                 {"slowness", withTwoDecimals(capacity.slowness)}},
                now);
}

nlohmann::json describe(const std::map<server_id, member_capacity> &capacities)
{
    auto members = nlohmann::json::object();
    for (const auto &[id, capacity] : capacities)
        members[id.str()] = {{"limit", std::round(capacity.limit * 100) / 100},
                             {"slowness", std::round(capacity.slowness * 100) / 100}};
    return members;
}

} // namespace sycamorespan::node
