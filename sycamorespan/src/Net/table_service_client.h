#ifndef SYCAMORESPAN_NET_TABLE_SERVICE_CLIENT_H
#define SYCAMORESPAN_NET_TABLE_SERVICE_CLIENT_H

#include "sycamorespan/src/Net/http_client.h"
#include "sycamorespan/src/Net/platform_outcome.h"
#include "sycamorespan/src/Net/table_transaction.h"

#include <functional>

namespace sycamorespan {

/** \brief Client of the platform's transactional table service.
 * \sa docs/design/0001-published-protocols.md
 */
class table_service_client
{
public:
    using outcome = platform_outcome<table_result>;

    /** \param client  HTTP client with the platform's address; must outlive this object */
    explicit table_service_client(http_client &client);

    /** \brief Runs \a transaction. \a onOutcome is called once, later, from the loop. */
    void run(const table_transaction &transaction, std::function<void(const outcome &)> onOutcome);

private:
    http_client &m_client;
};

} // namespace sycamorespan

#endif
