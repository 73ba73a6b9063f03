#ifndef SYCAMORESPAN_CORE_IDENTIFIERS_H
#define SYCAMORESPAN_CORE_IDENTIFIERS_H

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sycamorespan {

/** \brief A string identifier whose type differs from that of identifiers of other kinds.
 * \tparam Tag  type that distinguishes the kind
 */
template<typename Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &str() const noexcept { return m_value; }
    bool empty() const noexcept { return m_value.empty(); }

    auto operator<=>(const identifier &) const = default;

private:
    std::string m_value;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &stream, const identifier<Tag> &id)
{
    return stream << id.str();
}

/** \brief Identifies an instance, a machine that runs the system's processes. */
using instance_id = identifier<struct instance_tag>;
/** \brief Identifies a data centre, a zone with instances and backend servers of its own. */
using data_centre_id = identifier<struct data_centre_tag>;
/** \brief Identifies an area, a region that holds data centres. */
using area_id = identifier<struct area_tag>;
/** \brief Identifies a workspace, a tenant that owns keys and has a plan. */
using workspace_id = identifier<struct workspace_tag>;
/** \brief Identifies a database, which one group of backend servers serves. */
using database_id = identifier<struct database_tag>;
/** \brief Identifies a backend server, a member of the group of one database. */
using server_id = identifier<struct server_tag>;
/** \brief Identifies a caller's session. */
using session_id = identifier<struct session_tag>;

} // namespace sycamorespan

template<typename Tag>
struct std::hash<sycamorespan::identifier<Tag>>
{
    std::size_t operator()(const sycamorespan::identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

#endif
