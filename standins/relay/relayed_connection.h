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

/** \brief Connection from a caller together with the connection to the target that continues it. */
class relayed_connection
{
public:
    /** \param delay     returns the delay of data that has just been received
     * \param onClosed  called once from the event loop; it may destroy the object
     */
    relayed_connection(ev::loop_ref loop, file_descriptor caller, file_descriptor target,
                       std::function<duration()> delay, std::function<void()> onClosed);

    /** \brief Pauses reading on both sides while \a paused is true; both connections stay open. */
    void setPaused(bool paused);

    /** \brief Stops forwarding for good and discards delayed data; both connections stay open. */
    void stopForwarding();

    /** \brief Closes both connections after their pending writes. */
    void close();

private:
    /** Data of one direction that is forwarded after its delay. */
    struct direction
    {
        direction(ev::loop_ref loop, byte_stream &stream);

        void add(std::string_view bytes, duration delay);
        void deliver();
        void schedule();

        /** Received bytes with the time at which they are forwarded. */
        struct delayed_bytes
        {
            time_point due;
            std::string bytes;
        };

        byte_stream &receiver;
        std::deque<delayed_bytes> delayedBytes;
        loop_timer timer;
    };

    byte_stream::handlers handlers(direction relayed_connection::*path);

    std::function<duration()> m_delay;
    std::function<void()> m_onClosed;
    bool m_isStopped = false;
    byte_stream m_caller;
    byte_stream m_target;
    direction m_toTarget;
    direction m_toCaller;
    loop_timer m_closedTimer;
};

} // namespace sycamorespan::standin

#endif
