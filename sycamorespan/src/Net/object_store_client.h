#ifndef SYCAMORESPAN_NET_OBJECT_STORE_CLIENT_H
#define SYCAMORESPAN_NET_OBJECT_STORE_CLIENT_H

#include "sycamorespan/src/Net/http_client.h"
#include "sycamorespan/src/Net/platform_outcome.h"

#include <functional>
#include <optional>
#include <string>

namespace sycamorespan {

/** \brief Bytes of a stored object; no value if the object does not exist. */
struct stored_object
{
    std::optional<std::string> bytes;

    auto operator<=>(const stored_object &) const = default;
};

/** \brief Answer that confirms that an object was stored. */
struct object_stored
{
    auto operator<=>(const object_stored &) const = default;
};

/** \brief Client of the platform's object store.
 * \sa docs/design/0001-published-protocols.md
 */
class object_store_client
{
public:
    using get_outcome = platform_outcome<stored_object>;
    using put_outcome = platform_outcome<object_stored>;

    /** \param client  HTTP client with the platform's address; must outlive this object */
    explicit object_store_client(http_client &client);

    /** \brief Reads the object \a name. \a onOutcome is called once, later, from the loop. */
    void get(const std::string &name, std::function<void(const get_outcome &)> onOutcome);

    /** \brief Stores \a bytes under \a name. \a onOutcome is called once, later, from the loop. */
    void put(const std::string &name, const std::string &bytes,
             std::function<void(const put_outcome &)> onOutcome);

private:
    http_client &m_client;
};

} // namespace sycamorespan

#endif
