#ifndef SYCAMORESPAN_STANDINS_RELAY_RELAYED_CONNECTION_H
#define SYCAMORESPAN_STANDINS_RELAY_RELAYED_CONNECTION_H

#include "sycamorespan/Core"
#include "sycamorespan/Net"

#include <ev++.h>

#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace sycamorespan::standin {

/** \brief A connection from a caller, and the one to the target that carries it on. */
class relayed_connection
{
public:
    /** \param delay    asked for each piece of data
     * \param onClosed  called once, from the loop, after which the object may be destroyed
     */
    relayed_connection(ev::loop_ref loop, file_descriptor caller, file_descriptor target,
                       std::function<duration()> delay, std::function<void()> onClosed);

    /** \brief While \a held, nothing is read on either side, and neither side is told. */
    void hold(bool held);

    /** \brief Holds for good. */
    void silence();

    /** \brief Closes both sides. */
    void cut();

private:
    /** One direction: bytes that wait for their time. */
    struct direction
    {
        direction(ev::loop_ref loop, byte_stream &receiver);

        void add(std::string_view bytes, duration delay);
        void deliver();
        void schedule();

        struct piece
        {
            time_point due;
            std::string bytes;
        };

        byte_stream &to;
        std::deque<piece> pieces;
        loop_timer timer;
    };

    byte_stream::handlers handlers(direction relayed_connection::*way);

    std::function<duration()> m_delay;
    std::function<void()> m_onClosed;
    bool m_isSilent = false;
    byte_stream m_caller;
    byte_stream m_target;
    direction m_toTarget;
    direction m_toCaller;
    loop_timer m_closed;
};

} // namespace sycamorespan::standin

#endif
