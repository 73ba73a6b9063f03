#ifndef SYCAMORESPAN_FAILOVER_GROUP_VIEW_H
#define SYCAMORESPAN_FAILOVER_GROUP_VIEW_H

#include "sycamorespan/Core"

#include <optional>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief One backend server of a group. */
struct group_member
{
    server_id server;
    std::string address; ///< "IP:port"
    data_centre_id dataCentre;

    auto operator<=>(const group_member &) const = default;
};

/** \brief The group of backend servers that serves one database, as configured. */
struct group_configuration
{
    database_id database;
    std::vector<group_member> members;

    bool operator==(const group_configuration &) const = default;
};

/** \returns how many of \a memberCount members are a majority. */
constexpr std::size_t majorityOf(std::size_t memberCount)
{
    return memberCount / 2 + 1;
}

/** \returns the member whose id is \a server, or nullptr if there is none. */
const group_member *findMember(const std::vector<group_member> &members, const server_id &server);

/** \brief Whether a group is known to have a primary. */
enum class group_state {
    unserved, ///< no serving primary is known yet
    served, ///< the primary was promoted, or reported itself as primary, in the term
};

/** \brief Who is primary of a group, in which term. */
struct group_view
{
    database_id database;
    term_number term = 0;
    server_id primary;
    std::vector<group_member> members;
    /** Last position of the promoted log before the term began; nothing if the promotion was not
     * observed.
     */
    std::optional<log_position> base;
    group_state state = group_state::unserved;

    bool operator==(const group_view &) const = default;
};

/** \brief Rule by which every consumer accepts a view: only one with a higher term.
 *
 * Views may arrive late, repeatedly and in any order, from the store, an agent or a member.
 * \returns whether \a offered replaces \a current
 */
bool supersedes(const group_view &offered, const group_view &current);

} // namespace sycamorespan

#endif
