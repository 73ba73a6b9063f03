#ifndef SYCAMORESPAN_STANDINS_PLATFORM_PLATFORM_SERVER_H
#define SYCAMORESPAN_STANDINS_PLATFORM_PLATFORM_SERVER_H

#include "sycamorespan/Net"

#include "standins/platform/fault_switches.h"
#include "standins/platform/instance_history.h"
#include "standins/platform/table_store.h"

#include <ev++.h>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace sycamorespan::standin {

/** \brief Number of requests since the start, by kind and outcome. */
struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::uint64_t answersLost = 0;

    auto operator<=>(const platform_counters &) const = default;
};

/** \brief Table service, object store and instance list in memory, over HTTP, with simulated
 * faults.
 *
 * The protocol is the one of docs/design/0001-published-protocols.md.
 */
class platform_server
{
public:
    /** \throws error when the server can't listen on \a address */
    platform_server(ev::loop_ref loop, const endpoint &address);

    /** \returns the address on which the server listens. */
    endpoint address() const { return m_endpoint.address(); }

private:
    /** Request that is kept until a freeze ends. */
    struct frozen_request
    {
        http_request request;
        http_responder respond;
    };

    /** Answer that is sent after a delay. */
    struct delayed_answer
    {
        delayed_answer(ev::loop_ref loop, http_responder responder, http_response answer);

        ev::timer timer;
        http_responder respond;
        http_response response;
        bool sent = false; ///< The next answer removes sent ones from the list.

        void send(ev::timer &, int);
    };

    void handle(const http_request &request, const http_responder &respond);
    void handleService(const http_request &request, const http_responder &respond);
    void answer(const http_responder &respond, const http_response &response);

    http_response handleControl(const http_request &request);
    http_response changeFaults(const std::string &body);
    http_response changeInstances(const http_request &request, const std::string &name);
    http_response countersResponse() const;

    http_response run(const http_request &request, bool &changed);
    http_response runTransaction(const std::string &body, bool &changed);
    http_response readObject(const std::string &name);
    http_response writeObject(const std::string &name, const std::string &bytes, bool &changed);
    http_response listInstances();

    ev::loop_ref m_loop;
    table_store m_table;
    std::map<std::string, std::string> m_objects;
    instance_history m_instances;
    fault_switches m_faults;
    platform_counters m_counters;
    std::vector<frozen_request> m_frozenRequests;
    std::list<delayed_answer> m_delayedAnswers;
    web_endpoint m_endpoint;
};

} // namespace sycamorespan::standin

#endif
