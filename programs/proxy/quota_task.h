#ifndef SYCAMORESPAN_PROGRAMS_PROXY_QUOTA_TASK_H
#define SYCAMORESPAN_PROGRAMS_PROXY_QUOTA_TASK_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <ev++.h>
#include <nlohmann/json_fwd.hpp>

#include "sycamorespan/Configuration"
#include "sycamorespan/Messages"
#include "sycamorespan/Net"
#include "sycamorespan/Quota"

namespace sycamorespan::proxy {

/** \brief Totals since the process started. */
struct quota_counters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t loanMessages = 0;
    std::uint64_t shareRequests = 0;
};

/** \brief Manages this proxy's share of the rate of each workspace. Shares are stored in the store
 * through the agent; tokens are spent here and lent to and borrowed from other proxies.
 */
class quota_task
{
public:
    using send_handler = std::function<void(const messages::message &)>;
    /** Receives whether the request may run. */
    using admitted_handler = std::function<void(bool)>;

    /** \param self  incarnation of the proxy; numbers under one name increase with each start
     * \param sendToAgent  sends a message to the agent; messages may be lost
     */
    quota_task(ev::loop_ref loop, holder_incarnation self, send_handler sendToAgent,
               random_source random);

    void setPlans(const configuration::configuration_lists &lists);

    /** \returns the identifier of a new request. */
    std::uint64_t nextRequest() { return ++m_lastRequest; }

    /** \brief Requests one token. The handler is called immediately or later from the loop. */
    void admit(const workspace_id &workspace, std::uint64_t request, admitted_handler onDecided);
    void cancel(const workspace_id &workspace, std::uint64_t request);
    /** \brief Reports whether an admitted request may have run or certainly did not. */
    void settle(const workspace_id &workspace, std::uint64_t request, bool mayHaveRun);

    void received(const messages::share_answer &answer);
    void received(const messages::loan_transfer &transfer);

    /** \returns whether this proxy has a usable share of the rate of every workspace. */
    bool isReady() const;

    const quota_counters &counters() const noexcept { return m_counters; }
    nlohmann::json state() const;

private:
    struct workspace_quota
    {
        quota_limit limit;
        time_point validUntil;
        std::unique_ptr<allotment_lease> lease;
        std::unique_ptr<quota_holder> holder;
    };

    void add(const workspace_id &workspace, const quota_limit &limit);
    void handle(const workspace_id &workspace, const allotment_input &input);
    void handle(const workspace_id &workspace, const quota_input &input);
    void perform(const workspace_id &workspace, const allotment_action::read_row &action);
    void perform(const workspace_id &workspace, const allotment_action::write_row &action);
    void perform(const workspace_id &workspace, const allotment_action::share_changed &action);
    void perform(const workspace_id &workspace, const allotment_action::drained &action);
    void perform(const workspace_id &workspace, const quota_action::admit &action);
    void perform(const workspace_id &workspace, const quota_action::refuse &action);
    void perform(const workspace_id &workspace, const quota_action::send_message &action);
    void decide(std::uint64_t request, bool isAdmitted);
    void onTimer();

    holder_incarnation m_self;
    send_handler m_sendToAgent;
    random_source m_random;
    std::map<workspace_id, workspace_quota> m_workspaces;
    std::map<std::uint64_t, admitted_handler> m_waitingHandlers;
    std::uint64_t m_lastRequest = 0;
    quota_counters m_counters;
    loop_timer m_timer;
};

} // namespace sycamorespan::proxy

#endif
