#include "standins/platform/instance_history.h"

#include <algorithm>
#include <iterator>

namespace sycamorespan::standin {

void instance_history::put(const listed_instance &entry, time_point now)
{
    auto next = latest();
    next.insert_or_assign(entry.instance, entry);
    addVersion(std::move(next), now);
}

void instance_history::remove(const instance_id &instance, time_point now)
{
    auto next = latest();
    next.erase(instance);
    addVersion(std::move(next), now);
}

instance_list instance_history::at(time_point when) const
{
    instance_list result;
    const auto nextVersion = m_versions.upper_bound(when);
    if (nextVersion == m_versions.begin())
        return result;
    std::ranges::transform(std::prev(nextVersion)->second, std::back_inserter(result.instances),
                           [](const auto &entry) { return entry.second; });
    return result;
}

instance_history::entries instance_history::latest() const
{
    return m_versions.empty() ? entries() : m_versions.rbegin()->second;
}

void instance_history::addVersion(entries next, time_point now)
{
    constexpr std::size_t maxVersions = 10000;
    m_versions.insert_or_assign(now, std::move(next));
    if (m_versions.size() > maxVersions)
        m_versions.erase(m_versions.begin());
}

} // namespace sycamorespan::standin
