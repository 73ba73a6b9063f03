#ifndef SYCAMORESPAN_NET_INSTANCE_LIST_CLIENT_H
#define SYCAMORESPAN_NET_INSTANCE_LIST_CLIENT_H

#include "sycamorespan/Core"
#include "sycamorespan/src/Net/endpoint.h"
#include "sycamorespan/src/Net/http_client.h"
#include "sycamorespan/src/Net/platform_outcome.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace sycamorespan {

/** \brief Whether the platform keeps an instance (live) or is about to remove it (leaving). */
enum class instance_state { live, leaving };

/** \brief Entry of the platform's instance list. */
struct listed_instance
{
    instance_id instance;
    data_centre_id dataCentre;
    /** Address on which the instance's agent listens. */
    endpoint address;
    instance_state state = instance_state::live;

    auto operator<=>(const listed_instance &) const = default;
};

/** \brief The platform's instance list, in the platform's order. */
struct instance_list
{
    std::vector<listed_instance> instances;
    /** Why entries of the list were left out, one text for each. */
    std::vector<std::string> rejected;

    bool operator==(const instance_list &) const = default;
};

// The JSON form is described in docs/design/0001-published-protocols.md. from_json throws
// decode_error or nlohmann::json::exception.
// NOLINTBEGIN(readability-identifier-naming): nlohmann::json looks up these names.
void to_json(nlohmann::json &json, const listed_instance &entry);
void from_json(const nlohmann::json &json, listed_instance &entry);
// NOLINTEND(readability-identifier-naming)

/** \brief Client of the platform's list of instances. The list lags behind the actual instances.
 * \sa docs/design/0001-published-protocols.md
 */
class instance_list_client
{
public:
    using outcome = platform_outcome<instance_list>;

    /** \param client  HTTP client with the platform's address; must outlive this object */
    explicit instance_list_client(http_client &client);

    /** \brief Reads the list. \a onOutcome is called once, later, from the loop. */
    void get(std::function<void(const outcome &)> onOutcome);

private:
    http_client &m_client;
};

} // namespace sycamorespan

#endif
