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

/** \brief The group that serves one database, as the configuration names it. */
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

/** \returns the member named \a server, or nullptr. */
const group_member *findMember(const std::vector<group_member> &members, const server_id &server);

enum class group_state {
    unserved, ///< no primary is known yet; the term is 0
    served, ///< the primary was promoted or found in office in the term
};

/** \brief Who is primary of a group, in which term. */
struct group_view
{
    database_id database;
    term_number term = 0;
    server_id primary;
    std::vector<group_member> members;
    /** Last position of the promoted log before the term began; empty where the promotion was
     * not seen. */
    std::optional<log_position> base;
    group_state state = group_state::unserved;

    bool operator==(const group_view &) const = default;
};

/** \brief The rule by which every consumer takes a view: only one of a higher term.
 *
 * Views may arrive late, twice and in any order, from the table, an agent or a member.
 * \returns whether \a offered replaces \a current
 */
bool supersedes(const group_view &offered, const group_view &current);

} // namespace sycamorespan

#endif
