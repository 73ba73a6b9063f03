#include "sycamorespan/src/Failover/view_ledger.h"

#include <algorithm>
#include <utility>

namespace sycamorespan {

void view_ledger::applySnapshot(const std::vector<primary_view> &views, reference_time confirmed)
{
    std::ranges::for_each(views, [&](const primary_view &view) {
        apply(view);
        confirm(view, confirmed);
    });
}

void view_ledger::applyRead(const primary_view &view, reference_time confirmed,
                            store_revision readAt)
{
    // A row of a later page may be newer than that, while older ones of other databases are not
    // known yet.
    if (!view.isOfPresentEra() || storeAfter(view.revision) > readAt)
        return;
    auto &known = m_entries[view.database];
    if (readAt >= std::max(known.readAt, storeAfter(known.view.revision))) {
        // What is known may be no revision of the row: an instance of an earlier release has taken
        // a later revision of the store for it.
        known.view = view;
        known.readAt = readAt;
    }
    confirm(view, confirmed);
}

void view_ledger::confirm(const primary_view &view, reference_time at)
{
    const auto known = m_entries.find(view.database);
    // An older revision doesn't confirm the newer one that is known.
    if (known == m_entries.end() || known->second.view.revision != view.revision)
        return;
    auto &confirmed = known->second.confirmed;
    confirmed = std::max(confirmed.value_or(at), at);
    renewLease(known->second);
}

void view_ledger::setRegisteredAt(std::optional<reference_time> time, store_era era)
{
    m_registration = time ? std::optional(registration{*time, era}) : std::nullopt;
    for (auto &[database, known] : m_entries) {
        if (!m_registration)
            known.leasedAt.reset();
        renewLease(known);
    }
}

/** Counts the last confirmation if the instance was registered then, in the era of the view. */
void view_ledger::renewLease(entry &known) const
{
    if (m_registration && m_registration->era == known.view.revision.era() && known.confirmed
        && *known.confirmed >= m_registration->at)
        known.leasedAt = std::max(known.leasedAt.value_or(*known.confirmed), *known.confirmed);
}

void view_ledger::apply(const primary_view &view)
{
    if (!view.isOfPresentEra())
        return;
    auto &known = m_entries[view.database];
    if (std::max(known.readAt, storeAfter(known.view.revision)) >= storeAfter(view.revision))
        return;
    // The confirmation is kept: the older revision was in force until then, so that the newer one
    // is at least as recent.
    known.view = view;
}

void view_ledger::attest(std::uint64_t attestedDigest, reference_time attestedAt)
{
    if (attestedDigest != digest())
        return;
    for (auto &[database, known] : m_entries)
        known.attested = std::max(known.attested, attestedAt);
}

void view_ledger::attestByQuorum(std::uint64_t attestedDigest, reference_time attestedAt)
{
    if (attestedDigest != digest())
        return;
    for (auto &[database, known] : m_entries)
        known.attestedByQuorum = std::max(known.attestedByQuorum, attestedAt);
}

std::uint64_t view_ledger::digest() const
{
    return digestOf(views());
}

const primary_view *view_ledger::find(const database_id &database) const
{
    const auto known = m_entries.find(database);
    return known == m_entries.end() ? nullptr : &known->second.view;
}

std::vector<primary_view> view_ledger::views() const
{
    std::vector<primary_view> result;
    for (const auto &[database, known] : m_entries)
        result.push_back(known.view);
    return result;
}

std::optional<reference_time> view_ledger::confirmed(const database_id &database) const
{
    const auto known = m_entries.find(database);
    return known == m_entries.end() ? std::nullopt : known->second.confirmed;
}

std::optional<reference_time> view_ledger::confirmed() const
{
    std::optional<reference_time> oldest;
    for (const auto &[database, known] : m_entries) {
        if (!known.confirmed)
            return std::nullopt;
        oldest = std::min(oldest.value_or(*known.confirmed), *known.confirmed);
    }
    return oldest;
}

std::optional<reference_time> view_ledger::usableUntil(const database_id &database) const
{
    const auto known = m_entries.find(database);
    if (known == m_entries.end() || known->second.view.phase != view_phase::steady
        || !known->second.leasedAt)
        return std::nullopt;
    const auto leasedAt = *known->second.leasedAt;
    const auto byQuorum =
            std::min(known->second.attestedByQuorum, leasedAt + m_policy.quorumExtension);
    return std::max({leasedAt, known->second.attested, byQuorum}) + m_policy.validity;
}

} // namespace sycamorespan
