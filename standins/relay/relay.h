#ifndef SYCAMORESPAN_STANDINS_RELAY_RELAY_H
#define SYCAMORESPAN_STANDINS_RELAY_RELAY_H

#include "standins/relay/relayed_connection.h"

#include <cstdint>
#include <map>
#include <memory>

namespace sycamorespan::standin {

/** \brief What the relay does with connections. */
enum class relay_mode {
    /** Forwards. Connections that were silenced stay so. */
    pass,
    /** Connections that exist go silent for good; later ones are forwarded. */
    silent,
    /** Every connection is silent, and goes on where it was once the mode changes. */
    partition,
    /** Every connection is closed. */
    cut,
};

/** \brief Forwards TCP connections to a target, with faults on request.
 *
 * PUT /v1/mode {"mode":"pass|silent|partition|cut","delay_ms":N} on the control port switches; both
 * members are optional. GET /v1/mode shows mode, delay and number of connections.
 */
class relay
{
public:
    /** \throws error when an address can't be listened on */
    relay(ev::loop_ref loop, const endpoint &address, const endpoint &target,
          const endpoint &control);

    /** \returns where connections are accepted. */
    endpoint address() const { return {m_address.address, m_listener.port()}; }
    /** \returns where the control requests are accepted. */
    endpoint control() const { return m_control.address(); }

private:
    void accept(file_descriptor caller);
    http_response handle(const http_request &request);
    void change(const std::string &body);
    void apply();

    ev::loop_ref m_loop;
    endpoint m_address;
    endpoint m_target;
    relay_mode m_mode = relay_mode::pass;
    duration m_delay{0};
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::unique_ptr<relayed_connection>> m_connections;
    tcp_listener m_listener;
    web_endpoint m_control;
};

} // namespace sycamorespan::standin

#endif
