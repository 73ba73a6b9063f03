#ifndef SYCAMORESPAN_QUOTA_ALLOTMENT_H
#define SYCAMORESPAN_QUOTA_ALLOTMENT_H

#include "sycamorespan/src/Quota/quota_messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief The share of one holder in an allotment. */
struct allotment_share
{
    holder_incarnation incarnation;
    std::int64_t units = 0;
    std::int64_t wanted = 0; ///< units that the holder could use: its demand
    duration timeSinceRenewal{}; ///< lower bound on the time since the holder renewed its share

    bool operator==(const allotment_share &) const = default;
};

/** \brief A total divided among holders: units of a rate, connections, or slots.
 *
 * It is the value of one row of the store, which is changed by compare-and-set only. The holder may
 * use its share for less than the allotment's validity, counted from before the write that renewed
 * the share. Other holders may remove the share once its timeSinceRenewal reaches the validity, so
 * that a unit is never used by two holders.
 */
class allotment
{
public:
    static constexpr std::int64_t maxTotal = 1'000'000'000;

    allotment() = default;
    /** \throws error if a value is out of range or the shares exceed \a total. */
    allotment(std::int64_t total, std::vector<allotment_share> shares, std::string request);

    std::int64_t total() const { return m_total; }
    const std::vector<allotment_share> &shares() const { return m_shares; }
    /** \returns the unique id of the write that stored this value. */
    const std::string &request() const { return m_request; }

    std::int64_t freeUnits() const;
    const allotment_share *find(const holder_id &holder) const;

    /** \returns the max-min fair number of units of \a holder: what it wants, or an equal part of
     * the units that holders with a smaller demand leave.
     */
    std::int64_t fairUnits(const holder_id &holder) const;

    /** \returns a copy in which \a share replaces that of the same holder. */
    allotment with(const allotment_share &share) const;
    /** \returns a copy without the holder's share. */
    allotment without(const holder_id &holder) const;
    /** \returns a copy in which timeSinceRenewal of every share but that of \a holder is greater by
     * \a elapsed.
     */
    allotment withElapsedTime(duration elapsed, const holder_id &holder) const;
    /** \returns a copy without the shares that were not renewed for \a validity. */
    allotment withoutExpired(duration validity) const;
    allotment withRequest(std::string request) const;

    bool operator==(const allotment &) const = default;

    /** \returns JSON, the value of the row. */
    std::string encode() const;
    /** \throws decode_error if \a text is not a valid allotment. */
    static allotment decode(const std::string &text);

private:
    std::int64_t m_total = 0;
    std::vector<allotment_share> m_shares;
    std::string m_request;
};

} // namespace sycamorespan

#endif
