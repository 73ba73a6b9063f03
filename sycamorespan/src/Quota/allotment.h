#ifndef SYCAMORESPAN_QUOTA_ALLOTMENT_H
#define SYCAMORESPAN_QUOTA_ALLOTMENT_H

#include "sycamorespan/src/Quota/quota_messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief What one holder has of an allotment. */
struct allotment_share
{
    holder_run run;
    std::int64_t units = 0;
    std::int64_t wanted = 0; ///< units that the holder could use
    duration silence{}; ///< time that certainly passed since the holder renewed

    bool operator==(const allotment_share &) const = default;
};

/** \brief A total divided among holders: units of a rate, connections, or slots.
 *
 * It is the value of one row of the table service, changed by compare-and-set only. A share is
 * valid at its holder for less than the allotment's validity, counted from before the write that
 * renewed it; it can be taken from the holder once its silence reaches the validity.
 */
class allotment
{
public:
    static constexpr std::int64_t maxTotal = 1'000'000'000;

    allotment() = default;
    /** \throws error if the shares exceed \a total. */
    allotment(std::int64_t total, std::vector<allotment_share> shares, std::string request);

    std::int64_t total() const { return m_total; }
    const std::vector<allotment_share> &shares() const { return m_shares; }
    /** \returns the unique id of the write that made this value. */
    const std::string &request() const { return m_request; }

    std::int64_t freeUnits() const;
    const allotment_share *find(const holder_id &holder) const;

    /** \returns the units that each holder should have: every holder gets what it wants, or an
     * equal part of what the others leave (max-min fair).
     */
    std::int64_t fairUnits(const holder_id &holder) const;

    /** \returns a copy in which \a share replaces that of the same holder. */
    allotment with(const allotment_share &share) const;
    /** \returns a copy without the holder's share. */
    allotment without(const holder_id &holder) const;
    /** \returns a copy in which every share but that of \a holder was silent for \a elapsed longer.
     */
    allotment withSilence(duration elapsed, const holder_id &holder) const;
    /** \returns a copy without the shares that were silent for \a validity. */
    allotment withoutExpired(duration validity) const;
    allotment withRequest(std::string request) const;

    bool operator==(const allotment &) const = default;

    /** \returns JSON, the value of the row. */
    std::string encode() const;
    /** \throws decode_error if \a text is no allotment. */
    static allotment decode(const std::string &text);

private:
    std::int64_t m_total = 0;
    std::vector<allotment_share> m_shares;
    std::string m_request;
};

} // namespace sycamorespan

#endif
