#include "work_queue.h"

#include <algorithm>

namespace standin {

work_queue::running_work::running_work(work_queue &owner, work toRun, ev::loop_ref loop)
    : queue(&owner)
    , job(std::move(toRun))
    , timer(loop)
{
    timer.set<running_work, &running_work::onTimer>(this);
    timer.start(job.seconds);
}

void work_queue::running_work::onTimer(ev::timer &, int)
{
    queue->finish(job.id);
}

work_queue::work_queue(ev::loop_ref loop, int slots)
    : m_loop(loop)
    , m_slots(slots)
{ }

work_queue::work_id work_queue::submit(double seconds, std::function<void()> onDone)
{
    const auto id = m_nextId++;
    m_waiting.push_back({id, seconds, std::move(onDone)});
    startWaitingWork();
    return id;
}

void work_queue::cancel(work_id id)
{
    std::erase_if(m_waiting, [id](const work &job) { return job.id == id; });
    m_running.erase(id);
    startWaitingWork();
}

void work_queue::startWaitingWork()
{
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_slots)) {
        auto job = std::move(m_waiting.front());
        m_waiting.pop_front();
        const auto id = job.id;
        m_running.emplace(id, std::make_unique<running_work>(*this, std::move(job), m_loop));
    }
}

void work_queue::finish(work_id id)
{
    auto finishedWork = m_running.extract(id);
    startWaitingWork();
    finishedWork.mapped()->job.onDone();
}

} // namespace standin
