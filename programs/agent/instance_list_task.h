#ifndef SYCAMORESPAN_PROGRAMS_AGENT_INSTANCE_LIST_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_INSTANCE_LIST_TASK_H

#include "sycamorespan/Core"
#include "sycamorespan/Net"

#include <functional>

namespace sycamorespan::agent {

/** \brief Reads the platform's instance list at an interval and hands on each that was read. */
class instance_list_task
{
public:
    /** \param client  reads the list; outlives this object */
    instance_list_task(ev::loop_ref loop, instance_list_client &client, duration interval,
                       std::function<void(const instance_list &)> onRead, random_source random);

private:
    void read();
    void handle(const instance_list_client::outcome &outcome);

    instance_list_client &m_client;
    duration m_interval;
    std::function<void(const instance_list &)> m_onRead;
    random_source m_random;
    loop_timer m_timer;
};

} // namespace sycamorespan::agent

#endif
