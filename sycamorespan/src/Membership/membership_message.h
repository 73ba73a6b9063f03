#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "sycamorespan/src/Membership/member.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorespan {

/** \brief A monitor did not hear from a member in time. */
struct suspicion
{
    member_id subject;
    std::uint64_t boot = 0;
    std::uint64_t version = 0;
    member_id reporter;

    auto operator<=>(const suspicion &) const = default;
};

/** \brief Counter that rises as long as some instance of the data centre is heard from. */
struct data_centre_beat
{
    data_centre_id dataCentre;
    std::uint64_t beat = 0;

    auto operator<=>(const data_centre_beat &) const = default;
};

/** \brief What one agent sends to another: heartbeat, news and repair in one. */
struct membership_message
{
    member_id sender;
    std::uint64_t boot = 0;
    std::uint64_t version = 0;
    std::uint64_t digest = 0; ///< of all records that the sender knows
    std::vector<data_centre_beat> beats;
    std::vector<member> updates;
    std::vector<suspicion> suspicions;
    std::optional<member_id> pageAfter; ///< asks for the records that follow this one

    bool operator==(const membership_message &) const = default;
};

/** \returns CBOR of \a message, in positional form. */
std::vector<std::uint8_t> encodeMembershipMessage(const membership_message &message);

/** \throws decode_error if \a bytes is no membership message. */
membership_message decodeMembershipMessage(const std::vector<std::uint8_t> &bytes);

} // namespace sycamorespan

#endif
