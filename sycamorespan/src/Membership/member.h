#ifndef SYCAMORESPAN_MEMBERSHIP_MEMBER_H
#define SYCAMORESPAN_MEMBERSHIP_MEMBER_H

#include "sycamorespan/src/Core/identifiers.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sycamorespan {

/** \brief Name of an instance or a backend server. */
using member_id = identifier<struct member_tag>;

/** \brief Kind of a cluster member. */
enum class member_kind : std::uint8_t { instance, backendServer };

/** \brief State of a member, in the order in which a state replaces another of the same version. */
enum class member_state : std::uint8_t {
    live, ///< takes new work
    suspected, ///< unresponsive; gets no new work
    draining, ///< drains: finishes its work and gets no new work
    removed, ///< shut down, or unresponsive for longer than the removal timeout
};

/** \brief Record of a cluster member, as it is stored and sent by gossip.
 *
 * Of two records of the same member, the one with the greater (incarnation, version, state) is
 * newer. Only an instance itself raises its incarnation and version. The version of a backend
 * server is raised by the instance that observes a change of its state.
 */
struct member
{
    member_id id;
    member_kind kind = member_kind::instance;
    data_centre_id dataCentre;
    std::string address; ///< IP:port of the agent, or of the backend server
    std::uint64_t incarnation =
            0; ///< incarnation; 0 while it is known from the platform's list only
    std::uint64_t version = 0; ///< raised to refute a suspicion or to announce a state
    member_state state = member_state::live;

    bool operator==(const member &) const = default;

    /** \returns whether this record replaces \a other, a record of the same member. */
    bool newerThan(const member &other) const;
};

} // namespace sycamorespan

#endif
