#include "sycamorespan/src/Membership/evacuation_list.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

bool evacuation_list::replace(const std::set<data_centre_id> &evacuated,
                              store_revision knownThrough)
{
    // The other instances fetch the list when its revision rises. A read that confirms what was
    // known must not make them do so; the first one may hold a withdrawal that others missed.
    const bool isFirst = m_knownThrough == store_revision{};
    const bool changed = replace(evacuated, knownThrough, store_revision{});
    if (changed || isFirst)
        m_revision = std::max(m_revision, knownThrough);
    return changed;
}

bool evacuation_list::replace(const std::set<data_centre_id> &evacuated,
                              store_revision knownThrough, store_revision revision)
{
    if (knownThrough <= m_knownThrough)
        return false;
    const bool isFirst = std::exchange(m_knownThrough, knownThrough) == store_revision{};
    m_revision = std::max(m_revision, revision);
    const auto before = dataCentres();
    for (auto &[dataCentre, last] : m_changes)
        if (last.revision <= knownThrough && !evacuated.contains(dataCentre))
            last.requested = false;
    std::ranges::for_each(evacuated, [&](const data_centre_id &dataCentre) {
        auto &last = m_changes[dataCentre];
        if (last.revision <= knownThrough && !std::exchange(last.requested, true))
            last.wasFoundAtStart = isFirst;
    });
    return dataCentres() != before;
}

bool evacuation_list::put(const data_centre_id &dataCentre, bool requested, store_revision revision)
{
    auto &last = m_changes[dataCentre];
    if (revision <= std::max(last.revision, m_knownThrough))
        return false;
    const bool changed = last.requested != requested;
    last = {requested, revision, last.requested && requested && last.wasFoundAtStart};
    m_revision = std::max(m_revision, revision);
    return changed;
}

bool evacuation_list::contains(const data_centre_id &dataCentre) const
{
    const auto last = m_changes.find(dataCentre);
    return last != m_changes.end() && last->second.requested;
}

bool evacuation_list::wasFoundAtStart(const data_centre_id &dataCentre) const
{
    const auto last = m_changes.find(dataCentre);
    return last != m_changes.end() && last->second.requested && last->second.wasFoundAtStart;
}

std::set<data_centre_id> evacuation_list::dataCentres() const
{
    std::set<data_centre_id> result;
    for (const auto &[dataCentre, last] : m_changes)
        if (last.requested)
            result.insert(dataCentre);
    return result;
}

std::vector<server_entry> evacuation_list::marked(std::vector<server_entry> entries) const
{
    std::ranges::for_each(entries, [this](server_entry &entry) {
        entry.isEvacuated = contains(entry.dataCentre);
    });
    return entries;
}

} // namespace sycamorespan
