#ifndef SYCAMORESPAN_CONFIGURATION_CONFIGURATION_READER_H
#define SYCAMORESPAN_CONFIGURATION_CONFIGURATION_READER_H

#include "sycamorespan/src/Configuration/configuration_actions.h"
#include "sycamorespan/src/Configuration/configuration_holder.h"
#include "sycamorespan/src/Configuration/freshness_tracker.h"
#include "sycamorespan/src/Core/random_source.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sycamorespan::configuration {

/** \brief Intervals of a configuration_reader. */
struct reader_timing
{
    duration pollInterval = 1s; /**< between two reads of the row */
    duration queryInterval = 500ms; /**< between two queries for evidence */
    duration requestTimeout = 1s; /**< for an answer of the store or of a peer */
    duration freshnessBound = 4s; /**< largest age of evidence */
    duration longestBackoff = 3s; /**< between two reads while the store fails */
    duration gatherTimeout = 1s; /**< wait for evidence before the first version is put in force */
};

/** \brief An agent, as the list of live instances gives it. */
struct agent_peer
{
    instance_id instance;
    data_centre_id dataCentre;

    auto operator<=>(const agent_peer &) const = default;
};

/** \brief Keeps the configuration of an agent's instance up to date.
 *
 * The agents of a data centre form a tree in rendezvous order. Its root, the reader, reads the row
 * of the table at a fixed interval; each other agent asks its parent for evidence, and turns to the
 * store and to other data centres itself only when its evidence nears the bound. While the store
 * doesn't answer, the reader asks one agent of each other data centre. A new version is announced
 * along the tree and between readers, and its body is fetched from whoever announced it or from the
 * object store.
 *
 * An agent reports for its data centre only as a witness: since its start it has read the row
 * itself, or has heard from a witness of its data centre. An edit that every agent of one data
 * centre has acknowledged is thus known to whoever reports for that data centre later.
 *
 * \sa freshness_tracker, configuration_follower
 */
class configuration_reader
{
public:
    /** \param self    this agent
     * \param timing  intervals
     * \param random  source of jitter
     * \param start   the time now
     */
    configuration_reader(agent_peer self, const reader_timing &timing, random_source random,
                         time_point start);

    /** \brief Takes the live agents that the list of instances and heartbeats show; this one may be
     * among them or not. */
    void membersChanged(const std::vector<agent_peer> &members);

    /** \brief Takes data centres beyond those of live agents and of the groups' members, which are
     * known without it; they only grow. */
    void dataCentresKnown(const std::set<data_centre_id> &dataCentres);

    /** \brief To be called at least every tenth of the query interval. */
    configuration_actions tick(time_point now);

    /** \brief Takes the answer to read_row.
     * \param row  the row; nothing if it doesn't exist or the store didn't answer
     */
    configuration_actions rowRead(time_point now, std::uint64_t request,
                                  const std::optional<configuration_row> &row);

    /** \brief Takes the answer to read_body; nothing if the object store didn't answer. */
    configuration_actions bodyRead(time_point now, configuration_version version,
                                   const std::optional<std::string> &body);

    /** \brief Takes a message of the agent or proxy \a from. */
    configuration_actions received(time_point now, const instance_id &from,
                                   const messages::freshness_query &query);
    configuration_actions received(time_point now, const instance_id &from,
                                   const messages::freshness_answer &answer);
    configuration_actions received(time_point now, const instance_id &from,
                                   const messages::configuration_announce &announce);
    configuration_actions received(time_point now, const instance_id &from,
                                   const messages::configuration_request &request) const;
    configuration_actions received(time_point now, const instance_id &from,
                                   const messages::configuration_body &body);

    /** \returns whether requests with a key may start at \a now. */
    bool isFresh(time_point now) const { return m_tracker.isFresh(now, m_holder.version()); }

    /** \returns whether this agent is the reader of its data centre. */
    bool isReader() const { return m_order.front() == m_self.instance; }

    const configuration_holder &holder() const noexcept { return m_holder; }
    const freshness_tracker &tracker() const noexcept { return m_tracker; }

    /** \returns whether this agent reports for its data centre. */
    bool isWitness() const noexcept { return m_isWitness; }

    /** \returns the number of rows whose version was lower than the one in force. */
    std::uint64_t revertedRows() const noexcept { return m_revertedRows; }

private:
    struct known_version
    {
        configuration_version version = 0;
        std::string object;
        std::set<instance_id> holders; // agents that have announced it
    };

    struct pending_read
    {
        std::uint64_t request;
        time_point startedAt;
        configuration_version inForceAtStart;
    };

    struct pending_query
    {
        instance_id to;
        time_point askedAt;
    };

    duration jittered(duration base) const;
    std::size_t ownPlace() const;
    std::vector<instance_id> neighbours() const;
    std::optional<instance_id> parent() const;
    std::optional<instance_id> readerOf(const data_centre_id &dataCentre) const;
    bool isEvidenceDue(time_point now) const;
    bool isNearBound(time_point now) const;
    void reportForDataCentre(time_point now);
    void countUnanswered(const instance_id &instance);

    void updateDataCentres();
    void expire(time_point now);
    void readRow(time_point now, configuration_actions &actions);
    void readFailed(time_point now);
    void queryParent(time_point now, configuration_actions &actions);
    void queryOtherDataCentres(time_point now, configuration_actions &actions);
    void tryDirectly(time_point now, configuration_actions &actions);
    void query(time_point now, const instance_id &to, configuration_actions &actions);
    void learn(time_point now, const std::optional<instance_id> &from,
               configuration_version version, const std::string &object,
               configuration_actions &actions);
    void fetchBody(time_point now, configuration_actions &actions);
    void takeBody(time_point now, configuration_version version, const std::string &body,
                  configuration_actions &actions);
    void putCandidateInForce(time_point now, configuration_actions &actions);
    void announce(const std::optional<instance_id> &except, configuration_version version,
                  const std::string &object, configuration_actions &actions) const;

    agent_peer m_self;
    reader_timing m_timing;
    random_source m_random;
    time_point m_start;
    configuration_holder m_holder;
    freshness_tracker m_tracker;

    std::vector<instance_id> m_order; // agents of this data centre in rendezvous order
    std::map<data_centre_id, std::vector<instance_id>> m_otherOrders;
    std::set<data_centre_id> m_listedDataCentres;

    known_version m_known;
    std::map<configuration_version, std::string> m_candidates; // bodies not yet in force

    std::uint64_t m_nextRequest = 1;
    std::optional<pending_read> m_pendingRead;
    time_point m_nextRead;
    unsigned m_failedReads = 0;
    std::map<std::uint64_t, pending_query> m_pendingQueries; // by sequence
    std::map<data_centre_id, std::size_t> m_unanswered; // queries, since the members changed
    time_point m_nextQuery;
    time_point m_nextDirectTry;
    bool m_isWitness = false;
    time_point m_nextFetch;
    std::uint64_t m_fetchAttempts = 0;
    std::uint64_t m_revertedRows = 0;
};

} // namespace sycamorespan::configuration

#endif
