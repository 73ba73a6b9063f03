#include "sycamorespan/src/Membership/server_roster.h"

#include <algorithm>
#include <ranges>
#include <set>

namespace sycamorespan {

void server_roster::onStoreUnavailable(time_point now)
{
    m_lastOutage = now;
    m_storeRecovered.reset();
}

void server_roster::onStoreUnobserved(time_point now)
{
    onStoreUnavailable(now);
    m_isComplete = false;
}

void server_roster::onStoreAnswered(time_point now)
{
    if (m_lastOutage && !m_storeRecovered)
        m_storeRecovered = now;
}

bool server_roster::afterOutage(time_point now) const
{
    return m_lastOutage
           && (!m_storeRecovered
               || now - *m_storeRecovered < m_policy.registrationTimeout + m_policy.deliveryMargin);
}

void server_roster::put(const server_entry &entry)
{
    const auto found = m_entries.find(entry.id);
    if (found != m_entries.end() && found->second.entry == entry) {
        found->second.missingSince.reset();
        return;
    }
    auto sameWarmUp = entry;
    if (found != m_entries.end())
        sameWarmUp.warmUpLeft = found->second.entry.warmUpLeft;
    if (found == m_entries.end() || found->second.entry != sameWarmUp)
        m_listChanged = true;
    m_entries[entry.id] = {entry, std::nullopt};
    m_changed = true;
}

void server_roster::remove(const server_id &server, time_point now)
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end())
        return;
    if (afterOutage(now)) {
        if (!found->second.missingSince)
            found->second.missingSince = now;
        return;
    }
    m_entries.erase(found);
    m_changed = true;
    m_listChanged = true;
}

void server_roster::replace(const std::vector<server_entry> &entries, time_point now)
{
    std::set<server_id> present;
    std::ranges::for_each(entries, [&](const server_entry &entry) {
        present.insert(entry.id);
        put(entry);
    });
    std::vector<server_id> missing;
    for (const auto &[id, each] : m_entries)
        if (!present.contains(id))
            missing.push_back(id);
    std::ranges::for_each(missing, [&](const server_id &id) { remove(id, now); });
    m_isLoaded = true;
}

bool server_roster::tick(time_point now)
{
    const auto isExpired = [&](const auto &each) {
        if (!each.second.missingSince || !m_storeRecovered)
            return false;
        const auto since = std::max(*m_storeRecovered, *each.second.missingSince);
        return now - since >= m_policy.registrationTimeout + m_policy.deliveryMargin;
    };
    const bool dropped = std::erase_if(m_entries, isExpired) > 0;
    m_isComplete = m_isComplete || !afterOutage(now);
    m_changed = m_changed || dropped;
    m_listChanged = m_listChanged || dropped;
    return dropped;
}

std::string server_roster::draining() const
{
    std::string ids;
    for (const auto &[id, each] : m_entries)
        if (each.entry.state == server_state::draining)
            ids += (ids.empty() ? "" : ",") + id.str();
    return ids;
}

std::vector<server_entry> server_roster::entries() const
{
    std::vector<server_entry> result;
    for (const auto &[id, each] : m_entries)
        result.push_back(each.entry);
    return result;
}

} // namespace sycamorespan
