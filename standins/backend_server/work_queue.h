#ifndef STANDIN_BACKEND_SERVER_WORK_QUEUE_H
#define STANDIN_BACKEND_SERVER_WORK_QUEUE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include <ev++.h>

namespace standin {

/** \brief Simulates the execution of statements in a fixed number of slots.
 *
 * Each statement holds a slot for its service time; waiting statements start in order of arrival.
 */
class work_queue
{
public:
    using work_id = std::uint64_t;

    work_queue(ev::loop_ref loop, int slots);

    /** \brief Calls \a onDone after a slot has been held for \a seconds. */
    work_id submit(double seconds, std::function<void()> onDone);

    /** \brief Removes waiting or running work without calling its onDone. */
    void cancel(work_id id);

    int slots() const noexcept { return m_slots; }

private:
    struct work
    {
        work_id id = 0;
        double seconds = 0;
        std::function<void()> onDone;
    };
    struct running_work
    {
        work_queue *queue = nullptr;
        work job;
        ev::timer timer;

        running_work(work_queue &owner, work toRun, ev::loop_ref loop);
        void onTimer(ev::timer &watcher, int events);
    };

    void startWaitingWork();
    void finish(work_id id);

    ev::loop_ref m_loop;
    int m_slots;
    work_id m_nextId = 1;
    std::deque<work> m_waiting;
    std::map<work_id, std::unique_ptr<running_work>> m_running;
};

} // namespace standin

#endif
