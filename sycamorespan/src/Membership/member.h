#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBER_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBER_H

#include "sycamorespan/src/Core/identifiers.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sycamorespan {

/** \brief An instance or a backend server, by its name. */
using member_id = identifier<struct member_tag>;

enum class member_kind : std::uint8_t { instance, backendServer };

/** \brief State of a member, in the order in which a state replaces another of the same version. */
enum class member_state : std::uint8_t {
    live, ///< takes new work
    suspected, ///< silent; gets no new work
    leaving, ///< ends what it has begun; gets no new work
    gone, ///< left, or silent for long
};

/** \brief One member as it is known and passed on.
 *
 * Of two records of the same member the one with the greater (boot, version, state) is newer. Only
 * the member itself raises boot and version; for a backend server, whoever learns of its state.
 */
struct member
{
    member_id id;
    member_kind kind = member_kind::instance;
    data_centre_id dataCentre;
    std::string address; ///< IP:port of the agent, or of the backend server
    std::uint64_t boot = 0; ///< run of the member; 0: known from the platform's list only
    std::uint64_t version = 0; ///< raised by the member to refute a suspicion
    member_state state = member_state::live;

    bool operator==(const member &) const = default;

    /** \returns whether this record replaces \a other, a record of the same member. */
    bool newerThan(const member &other) const;
};

} // namespace sycamorespan

#endif
