#ifndef SYCAMORESPAN_CONFIGURATION_FRESHNESS_TRACKER_H
#define SYCAMORESPAN_CONFIGURATION_FRESHNESS_TRACKER_H

#include "sycamorespan/src/Configuration/configuration_document.h"
#include "sycamorespan/src/Core/time_types.h"
#include "sycamorespan/src/Messages/generated/configuration_types.h"

#include <map>
#include <optional>
#include <set>

namespace sycamorespan::configuration {

/** \brief At the time \c asOf no accepted version was higher than \c version. */
struct freshness_evidence
{
    time_point asOf;
    configuration_version version = 0;

    bool operator==(const freshness_evidence &) const = default;
};

/** \brief Decides whether an accepted edit could be unknown to this process.
 *
 * A process is fresh while its newest evidence is not older than the bound and its version in force
 * is not lower than the evidence's. Evidence is a read of the table's row, counted from before the
 * read was sent, or one report of an agent in every data centre, of which the oldest counts.
 * Evidence that another process holds is dated by the age that it states, counted from before it
 * was asked, so that no two clocks are compared.
 */
class freshness_tracker
{
public:
    /** \param bound  largest age of evidence */
    explicit freshness_tracker(duration bound);

    /** \brief Sets the data centres, this one included, whose reports are evidence together. */
    void setDataCentres(std::set<data_centre_id> dataCentres);

    /** \brief Takes evidence that stands alone, such as the result of a read of the row. */
    void evidenceFound(const freshness_evidence &evidence);

    /** \brief Takes what an agent of \a dataCentre has heard of. */
    void dataCentreReported(const data_centre_id &dataCentre, const freshness_evidence &evidence);

    /** \brief Takes the evidence of a process that was asked at \a askedAt. */
    void peerAnswered(time_point askedAt, const messages::freshness_answer &answer);

    /** \returns the newest evidence and the report of \a own, and all reports if the newest
     * evidence is older than half the bound, with their ages at \a now, to answer another process.
     */
    std::vector<messages::freshness_evidence> evidenceAt(time_point now,
                                                         const data_centre_id &own) const;

    /** \returns the evidence with the latest time. */
    std::optional<freshness_evidence> newest() const;

    /** \returns whether the newest evidence is older than \a age at \a now, or there is none. */
    bool isOlderThan(duration age, time_point now) const;

    /** \returns whether requests with a key may start at \a now while \a inForce is in force. */
    bool isFresh(time_point now, configuration_version inForce) const;

private:
    std::optional<freshness_evidence> combinedReports() const;

    duration m_bound;
    std::set<data_centre_id> m_dataCentres;
    std::optional<freshness_evidence> m_direct;
    std::map<data_centre_id, freshness_evidence> m_reports;
};

} // namespace sycamorespan::configuration

#endif
