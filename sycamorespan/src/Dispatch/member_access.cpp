#include "sycamorespan/src/Dispatch/member_access.h"

#include "sycamorespan/src/Core/rendezvous_hash.h"

#include <algorithm>

namespace sycamorespan {

void member_access::setServers(const std::vector<server_entry> &entries, time_point now)
{
    std::map<server_id, known_member> members;
    std::ranges::for_each(entries, [&](const server_entry &entry) {
        const auto known = m_members.find(entry.id);
        const bool isSame = known != m_members.end()
                            && known->second.entry.startedAtMs == entry.startedAtMs
                            && known->second.entry.address == entry.address;
        auto &member = members[entry.id];
        if (isSame)
            member = std::move(known->second);
        else if (m_hasServers)
            member.startedAt = now;
        if (entry.warmUpLeft && (!isSame || member.entry.warmUpLeft != entry.warmUpLeft))
            member.coldUntil = now + *entry.warmUpLeft;
        member.entry = entry;
    });
    m_members = std::move(members);
    m_hasServers = true;
    updateRestrictions();
}

void member_access::setEvacuations(const evacuation_list &evacuations, time_point now)
{
    for (const auto &dataCentre : evacuations.dataCentres()) {
        auto &state = m_evacuations[dataCentre];
        if (state.since)
            continue;
        const bool hasPassed = evacuations.wasFoundAtStart(dataCentre);
        state.since = hasPassed ? now - m_policy.evacuatedUsePeriod : now;
        state.returnedAt.reset();
    }
    for (auto &[dataCentre, state] : m_evacuations) {
        if (!state.since || evacuations.contains(dataCentre))
            continue;
        state.since.reset();
        state.returnedAt = now;
    }
    updateRestrictions();
}

void member_access::setLimits(const std::map<database_id, database_limits> &limits)
{
    m_limits = limits;
    updateRestrictions();
}

void member_access::updateRestrictions()
{
    m_restrictedUntil = {};
    m_returnedUntil = {};
    for (const auto &[id, member] : m_members)
        if (warmUpRateOf(member) > 0)
            m_restrictedUntil = std::max(m_restrictedUntil, coldUntil(member));
    for (const auto &[dataCentre, state] : m_evacuations) {
        if (state.since)
            m_restrictedUntil = time_point::max();
        if (state.returnedAt)
            m_returnedUntil = std::max(m_returnedUntil, *state.returnedAt + m_policy.returnPeriod);
    }
}

const member_access::known_member *member_access::find(const server_id &server) const
{
    const auto known = m_members.find(server);
    return known == m_members.end() ? nullptr : &known->second;
}

const member_access::evacuation_state *member_access::evacuationOf(const known_member &member) const
{
    const auto known = m_evacuations.find(member.entry.dataCentre);
    return known == m_evacuations.end() ? nullptr : &known->second;
}

double member_access::warmUpRateOf(const known_member &member) const
{
    const auto limits = m_limits.find(member.entry.database);
    return limits == m_limits.end() ? 0 : limits->second.warmUpRatePerSecond;
}

/** \returns the end of the warm-up that the member reports, or else that of its database. */
time_point member_access::coldUntil(const known_member &member) const
{
    const auto limits = m_limits.find(member.entry.database);
    if (member.entry.warmUpLeft || !member.startedAt || limits == m_limits.end())
        return member.coldUntil;
    return *member.startedAt + limits->second.warmUp;
}

bool member_access::isCold(const known_member &member, time_point now) const
{
    return now < coldUntil(member) && warmUpRateOf(member) > 0;
}

bool member_access::isHome(const std::set<area_id> &homes, const data_centre_id &dataCentre) const
{
    if (homes.empty())
        return true;
    const auto area = m_areas.find(dataCentre);
    return area != m_areas.end() && homes.contains(area->second);
}

bool member_access::isEvacuated(const server_id &server, time_point now) const
{
    const auto *member = isUnrestricted(now) ? nullptr : find(server);
    const auto *evacuation = member ? evacuationOf(*member) : nullptr;
    return evacuation && evacuation->since
           && now - *evacuation->since >= m_policy.evacuatedUsePeriod;
}

std::vector<server_id> member_access::evacuatedServers(time_point now) const
{
    std::vector<server_id> servers;
    if (isUnrestricted(now))
        return servers;
    for (const auto &[id, member] : m_members)
        if (isEvacuated(id, now))
            servers.push_back(id);
    return servers;
}

bool member_access::isCold(const server_id &server, time_point now) const
{
    const auto *member = find(server);
    return member && isCold(*member, now);
}

bool member_access::maySend(const server_id &server, time_point now) const
{
    const auto *member = isUnrestricted(now) ? nullptr : find(server);
    return !member || !isCold(*member, now) || member->rate.maySend(now);
}

bool member_access::hasShare(const server_id &server) const
{
    const auto *member = find(server);
    return member && member->rate.hasShare();
}

time_point member_access::dueAfter(const server_id &server, std::size_t ahead, time_point now) const
{
    const auto *member = find(server);
    if (!member || !isCold(*member, now))
        return now;
    const auto end = coldUntil(*member);
    return member->rate.hasShare() ? std::min(member->rate.dueAfter(ahead, now), end) : end;
}

void member_access::onSent(const server_id &server, std::size_t count, time_point now)
{
    if (isUnrestricted(now))
        return;
    const auto known = m_members.find(server);
    if (known != m_members.end() && isCold(known->second, now))
        known->second.rate.onSent(count, now);
}

bool member_access::isReturning(const server_id &server, std::string_view request,
                                time_point now) const
{
    const auto *member = now < m_returnedUntil ? find(server) : nullptr;
    const auto *evacuation = member ? evacuationOf(*member) : nullptr;
    if (!evacuation || !evacuation->returnedAt)
        return false;
    constexpr double range = 18446744073709551616.0; // 2^64
    const double draw = static_cast<double>(rendezvousWeight(server.str(), request)) / range;
    return draw * toSeconds(m_policy.returnPeriod) > toSeconds(now - *evacuation->returnedAt);
}

} // namespace sycamorespan
