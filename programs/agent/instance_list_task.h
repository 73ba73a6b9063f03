#ifndef SYCAMORESPAN_PROGRAMS_AGENT_INSTANCE_LIST_TASK_H
#define SYCAMORESPAN_PROGRAMS_AGENT_INSTANCE_LIST_TASK_H

#include "sycamorespan/Core"
#include "sycamorespan/Logging"
#include "sycamorespan/Net"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sycamorespan::agent {

/** \brief Reads the platform's instance list periodically and passes each result to a handler. */
class instance_list_task
{
public:
    /** \param client   client that reads the list; must outlive this object
     * \param interval  longest time from an answer to the next read, shortened by jitter
     * \param onRead    called with each list that was read
     * \param random    source of jitter
     */
    instance_list_task(ev::loop_ref loop, instance_list_client &client, duration interval,
                       std::function<void(const instance_list &)> onRead, random_source random);

    /** \returns the number of entries that could not be decoded. */
    std::uint64_t rejectedEntries() const { return m_rejectedEntries; }

private:
    void read();
    void reportRejected(const std::vector<std::string> &rejected);
    void handle(const instance_list_client::outcome &outcome);

    instance_list_client &m_client;
    duration m_interval;
    std::function<void(const instance_list &)> m_onRead;
    random_source m_random;
    logger m_log;
    std::vector<std::string> m_rejected; ///< of the last read
    std::uint64_t m_rejectedEntries = 0;
    loop_timer m_timer;
};

} // namespace sycamorespan::agent

#endif
