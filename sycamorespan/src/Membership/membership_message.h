#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "sycamorespan/src/Membership/member.h"

#include <chrono>
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

/** \brief How long ago anything was heard from a data centre, by the sender or through others. */
struct data_centre_silence
{
    data_centre_id dataCentre;
    std::chrono::milliseconds length{};

    auto operator<=>(const data_centre_silence &) const = default;
};

/** \brief What one agent sends to another: heartbeat, news and repair in one. */
struct membership_message
{
    member_id sender;
    std::uint64_t boot = 0;
    std::uint64_t version = 0;
    member_state state = member_state::live; ///< of the sender
    std::uint64_t digest = 0; ///< of all records that the sender knows
    std::vector<data_centre_silence> silences;
    std::vector<member> updates;
    std::vector<suspicion> suspicions;
    bool isPage = false; ///< updates answer pageAfter and are not passed on
    std::optional<member_id> pageAfter; ///< asks for the records that follow this one

    bool operator==(const membership_message &) const = default;
};

/** \returns CBOR of \a message, in positional form. */
std::vector<std::uint8_t> encodeMembershipMessage(const membership_message &message);

/** \throws decode_error if \a bytes is no membership message. */
membership_message decodeMembershipMessage(const std::vector<std::uint8_t> &bytes);

} // namespace sycamorespan

#endif
