#ifndef SYCAMORESPAN_STANDINS_RELAY_RELAY_H
#define SYCAMORESPAN_STANDINS_RELAY_RELAY_H

#include "standins/relay/relayed_connection.h"

#include <cstdint>
#include <map>
#include <memory>

namespace sycamorespan::standin {

/** \brief Mode of the relay, which applies to all its connections. */
enum class relay_mode {
    /** Data is forwarded, except on connections that the mode silent stopped. */
    pass,
    /** Existing connections forward no data any more; later connections are forwarded. */
    silent,
    /** Every connection pauses reading and continues without loss in the mode pass. */
    partition,
    /** Existing and new connections are closed. */
    cut,
};

/** \brief Forwards TCP connections to a target and simulates faults on request.
 *
 * PUT /v1/mode {"mode":"pass|silent|partition|cut","delay_ms":N} on the control port changes mode
 * and delay; both members are optional. GET /v1/mode returns mode, delay and number of connections.
 */
class relay
{
public:
    /** \throws error when the relay can't listen on \a address or \a control */
    relay(ev::loop_ref loop, const endpoint &address, const endpoint &target,
          const endpoint &control);

    /** \returns the address on which connections are accepted. */
    endpoint address() const { return {m_address.address, m_listener.port()}; }
    /** \returns the address on which control requests are accepted. */
    endpoint control() const { return m_control.address(); }

private:
    void accept(file_descriptor caller);
    http_response handleControl(const http_request &request);
    void changeMode(const std::string &body);
    void applyMode();

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
