#include "programs/node/rejected_entries.h"

#include <algorithm>

namespace sycamorespan::node {

namespace {

/** Number of entries that are remembered, which is more than the rows of any list. */
constexpr std::size_t maxNotedEntries = 10'000;

} // namespace

void rejected_entries::note(const std::string &list, const std::string &entry,
                            store_revision revision, std::string_view cause, time_point now)
{
    if (m_noted.size() >= maxNotedEntries)
        m_noted.clear();
    const auto [noted, isNew] = m_noted.try_emplace({list, entry}, revision);
    if (!isNew && std::exchange(noted->second, revision) == revision)
        return;
    m_metrics.countRejectedEntry(list);
    m_log.write(line_importance::failure, "entry of a list could not be decoded",
                {{"list", list},
                 {"entry", entry},
                 {"revision", textOf(revision)},
                 {"error", std::string(cause)}},
                now);
}

void rejected_entries::note(const std::vector<platform::rejected_entry> &entries,
                            store_revision revision, time_point now)
{
    std::ranges::for_each(entries, [&](const platform::rejected_entry &each) {
        note(each.list, each.name, revision, each.cause, now);
    });
}

} // namespace sycamorespan::node
