#ifndef SYCAMORESPAN_CONFIGURATION_FRESHNESS_TRACKER_H
#define SYCAMORESPAN_CONFIGURATION_FRESHNESS_TRACKER_H

#include "sycamorespan/src/Configuration/configuration_document.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Messages/generated/configuration_types.h"

#include <map>
#include <optional>
#include <set>

namespace sycamorespan::configuration {

/** \brief Evidence that no version accepted by the time \c asOf was higher than \c version. */
struct freshness_evidence
{
    time_point asOf;
    configuration_version version = 0;

    bool operator==(const freshness_evidence &) const = default;
};

/** \brief Decides whether this process may have missed an accepted edit.
 *
 * A process is fresh while its newest evidence is not older than the bound and its version in force
 * is not lower than that of the evidence. Evidence is either a read of the row, dated by the time
 * at which the read was sent, or a set of reports from all data centres, dated by the oldest of
 * them. Evidence from another process is dated by the time at which the query was sent minus the
 * age in the answer, so that the clocks of two processes are never compared.
 */
class freshness_tracker
{
public:
    /** \param bound  maximum age of evidence */
    explicit freshness_tracker(duration bound);

    /** \brief Sets the data centres, this one included, whose reports together are evidence. */
    void setDataCentres(std::set<data_centre_id> dataCentres);

    /** \brief Adds standalone evidence, such as the result of a read of the row. */
    void evidenceFound(const freshness_evidence &evidence);

    /** \brief Adds the report of an agent of \a dataCentre. */
    void dataCentreReported(const data_centre_id &dataCentre, const freshness_evidence &evidence);

    /** \brief Adds the evidence in the answer to a query that was sent at \a sentAt. */
    void peerAnswered(time_point sentAt, const messages::freshness_answer &answer);

    /** \brief Selects the evidence for the answer to a query.
     * \returns the newest evidence and the report of \a ownDataCentre, and also all other reports
     * if the newest evidence is older than half the bound, each with its age at \a now
     */
    std::vector<messages::freshness_evidence> evidenceAt(time_point now,
                                                         const data_centre_id &ownDataCentre) const;

    /** \returns the newest evidence; nothing if there is none. */
    std::optional<freshness_evidence> newest() const;

    /** \returns whether the newest evidence is older than \a age at \a now, or there is none. */
    bool isOlderThan(duration age, time_point now) const;

    /** \returns whether a request with a key may start at \a now while \a inForce is in force. */
    bool isFresh(time_point now, configuration_version inForce) const;

private:
    std::optional<freshness_evidence> combinedReports() const;

    duration m_bound;
    std::set<data_centre_id> m_dataCentres;
    std::optional<freshness_evidence> m_standalone;
    std::map<data_centre_id, freshness_evidence> m_reports;
};

} // namespace sycamorespan::configuration

#endif
