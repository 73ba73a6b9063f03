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

/** \brief Intervals and timeouts of a configuration_reader. */
struct reader_timing
{
    duration pollInterval = 1s; /**< time between two reads of the row */
    duration queryInterval = 500ms; /**< time between two queries for evidence */
    duration requestTimeout = 1s; /**< timeout for an answer of the store or a peer */
    duration freshnessBound = 4s; /**< maximum age of evidence */
    duration maxBackoff = 3s; /**< maximum time between two reads while the store fails */
    duration evidenceTimeout = 1s; /**< maximum wait for evidence before the first version */
};

/** \brief An agent in the list of live instances. */
struct agent_peer
{
    instance_id instance;
    data_centre_id dataCentre;

    auto operator<=>(const agent_peer &) const = default;
};

/** \brief Keeps the configuration of an agent's instance up to date.
 *
 * The agents of a data centre form a tree in rendezvous order. The root of the tree, the reader,
 * reads the row of the table at a fixed interval. Every other agent queries its parent for evidence
 * of freshness. It queries the store and other data centres itself only when its evidence
 * approaches the maximum age. While the store is unavailable, the reader queries one agent of each
 * other data centre. A new version is announced along the tree and between readers. Its body is
 * fetched from an agent that announced it or from the object store.
 *
 * An agent reports for its data centre only as a witness, which is an agent that has read the row
 * itself or received an answer from a witness of its data centre since its start. Thus an edit that
 * every agent of one data centre has acknowledged is known to every later witness of that data
 * centre.
 *
 * \sa freshness_tracker, configuration_follower
 */
class configuration_reader
{
public:
    /** \param self    this agent
     * \param timing  intervals and timeouts
     * \param random  source of jitter
     * \param start   the current time
     */
    configuration_reader(agent_peer self, const reader_timing &timing, random_source random,
                         time_point start);

    /** \brief Sets the live agents, according to the list of instances and heartbeats. This agent
     * may be left out.
     */
    void membersChanged(const std::vector<agent_peer> &members);

    /** \brief Adds data centres to those of the live agents and of the groups' members, which are
     * known already. Data centres are never removed.
     */
    void dataCentresKnown(const std::set<data_centre_id> &dataCentres);

    /** \brief Performs what is due at \a now. Must be called at least ten times per query interval.
     */
    configuration_actions tick(time_point now);

    /** \brief Handles the result of read_row.
     * \param now      the current time
     * \param request  the number in read_row
     * \param row      the row; nothing if it doesn't exist or the store didn't answer
     */
    configuration_actions rowRead(time_point now, std::uint64_t request,
                                  const std::optional<configuration_row> &row);

    /** \brief Handles the result of read_body; \a body is empty if the object store didn't answer.
     */
    configuration_actions bodyRead(time_point now, configuration_version version,
                                   const std::optional<std::string> &body);

    /** \brief Handles a message of the agent or proxy \a from. */
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

    /** \returns whether a request with a key may start at \a now. */
    bool isFresh(time_point now) const { return m_tracker.isFresh(now, m_holder.version()); }

    /** \returns whether this agent is the reader of its data centre. */
    bool isReader() const { return m_ranking.front() == m_self.instance; }

    const configuration_holder &holder() const noexcept { return m_holder; }
    const freshness_tracker &tracker() const noexcept { return m_tracker; }

    /** \returns whether this agent reports for its data centre. */
    bool isWitness() const noexcept { return m_isWitness; }

    /** \returns the number of reads whose row had a lower version than the one in force. */
    std::uint64_t revertedRows() const noexcept { return m_revertedRows; }

private:
    struct known_version
    {
        configuration_version version = 0;
        std::string object;
        std::set<instance_id> holders; // agents that announced the version
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
        time_point sentAt;
    };

    duration jittered(duration base) const;
    std::size_t ownRank() const;
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
    void bypassParent(time_point now, configuration_actions &actions);
    void query(time_point now, const instance_id &to, configuration_actions &actions);
    void handleVersion(time_point now, const std::optional<instance_id> &from,
                       configuration_version version, const std::string &object,
                       configuration_actions &actions);
    void fetchBody(time_point now, configuration_actions &actions);
    void acceptBody(time_point now, configuration_version version, const std::string &body,
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

    std::vector<instance_id> m_ranking; // agents of this data centre, in rendezvous order
    std::map<data_centre_id, std::vector<instance_id>> m_otherRankings;
    std::set<data_centre_id> m_listedDataCentres;

    known_version m_newestKnown;
    std::map<configuration_version, std::string> m_candidates; // bodies that are not in force yet

    std::uint64_t m_nextRequest = 1;
    std::optional<pending_read> m_pendingRead;
    time_point m_nextRead;
    unsigned m_failedReads = 0;
    std::map<std::uint64_t, pending_query> m_pendingQueries; // by sequence number
    // Number of queries without an answer since the members changed.
    std::map<data_centre_id, std::size_t> m_unansweredQueries;
    time_point m_nextQuery;
    time_point m_nextBypass;
    bool m_isWitness = false;
    time_point m_nextFetch;
    std::uint64_t m_fetchAttempts = 0;
    std::uint64_t m_revertedRows = 0;
};

} // namespace sycamorespan::configuration

#endif
