#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "sycamorespan/src/Membership/member.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorespan {

/** \brief Report of a monitor that it did not hear from a member in time. */
struct suspicion
{
    member_id subject;
    std::uint64_t incarnation = 0; ///< incarnation of the subject
    std::uint64_t version = 0; ///< version of the subject's record
    member_id reporter;

    auto operator<=>(const suspicion &) const = default;
};

/** \brief Time since the last message from a data centre, received directly or reported by others.
 */
struct data_centre_contact
{
    data_centre_id dataCentre;
    std::chrono::milliseconds age{};

    auto operator<=>(const data_centre_contact &) const = default;
};

/** \brief Message between two agents: a heartbeat, with updates and the repair of differences. */
struct membership_message
{
    member_id sender;
    std::uint64_t incarnation = 0; ///< incarnation of the sender
    std::uint64_t version = 0; ///< version of the sender's record
    member_state state = member_state::live; ///< state of the sender
    std::uint64_t digest = 0; ///< digest of all records of the sender except removed members
    std::vector<data_centre_contact> contacts; ///< last contacts of the sender with data centres
    std::vector<member> updates;
    std::vector<suspicion> suspicions;
    bool isPage = false; ///< whether updates answer pageAfter; they are then not passed on
    std::optional<member_id> pageAfter; ///< requests the records that follow this one

    bool operator==(const membership_message &) const = default;
};

/** \returns \a message as CBOR, a positional array of its fields. */
std::vector<std::uint8_t> encodeMembershipMessage(const membership_message &message);

/** \brief Decodes a message.
 * \throws decode_error if \a bytes is not a membership message
 */
membership_message decodeMembershipMessage(const std::vector<std::uint8_t> &bytes);

} // namespace sycamorespan

#endif
