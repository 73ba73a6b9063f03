#ifndef SYCAMORESPAN_CORE_IDENTIFIERS_H
#define SYCAMORESPAN_CORE_IDENTIFIERS_H

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sycamorespan {

/** \brief A name that can't be mixed up with a name of another kind.
 * \tparam Tag  the kind
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

/** \brief A machine that runs the system's processes. */
using instance_id = identifier<struct instance_tag>;
/** \brief A zone with instances and backend servers of its own. */
using data_centre_id = identifier<struct data_centre_tag>;
/** \brief A customer: the tenant that owns keys and a plan. */
using workspace_id = identifier<struct workspace_tag>;
/** \brief A database, served by one group of backend servers. */
using database_id = identifier<struct database_tag>;
/** \brief A member of a database's group. */
using server_id = identifier<struct server_tag>;
/** \brief A caller's session. */
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
