#include "sycamorespan/src/Membership/server_roster.h"

#include <algorithm>
#include <ranges>
#include <set>

namespace sycamorespan {

void server_roster::noteOutage(time_point now)
{
    m_outage = now;
    m_returned.reset();
}

void server_roster::noteAnswer(time_point now)
{
    if (m_outage && !m_returned)
        m_returned = now;
}

bool server_roster::afterOutage(time_point now) const
{
    return m_outage && (!m_returned || now - *m_returned < m_policy.returnLimit + m_policy.slack);
}

void server_roster::put(const server_entry &entry)
{
    const auto known = m_listed.find(entry.id);
    if (known != m_listed.end() && known->second.entry == entry) {
        known->second.missingSince.reset();
        return;
    }
    m_listed[entry.id] = {entry, std::nullopt};
    m_changed = true;
}

void server_roster::remove(const server_id &server, time_point now)
{
    const auto known = m_listed.find(server);
    if (known == m_listed.end())
        return;
    if (afterOutage(now)) {
        if (!known->second.missingSince)
            known->second.missingSince = now;
        return;
    }
    m_listed.erase(known);
    m_changed = true;
}

void server_roster::replace(const std::vector<server_entry> &entries, time_point now)
{
    std::set<server_id> present;
    std::ranges::for_each(entries, [&](const server_entry &entry) {
        present.insert(entry.id);
        put(entry);
    });
    std::vector<server_id> missing;
    for (const auto &[id, each] : m_listed)
        if (!present.contains(id))
            missing.push_back(id);
    std::ranges::for_each(missing, [&](const server_id &id) { remove(id, now); });
    m_known = true;
}

bool server_roster::tick(time_point now)
{
    const auto isOver = [&](const auto &each) {
        if (!each.second.missingSince || !m_returned)
            return false;
        const auto back = std::max(*m_returned, *each.second.missingSince);
        return now - back >= m_policy.returnLimit + m_policy.slack;
    };
    const bool dropped = std::erase_if(m_listed, isOver) > 0;
    m_changed = m_changed || dropped;
    return dropped;
}

std::vector<server_entry> server_roster::entries() const
{
    std::vector<server_entry> result;
    for (const auto &[id, each] : m_listed)
        result.push_back(each.entry);
    return result;
}

} // namespace sycamorespan
