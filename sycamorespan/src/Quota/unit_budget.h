#ifndef SYCAMORESPAN_QUOTA_UNIT_BUDGET_H
#define SYCAMORESPAN_QUOTA_UNIT_BUDGET_H

#include "sycamorespan/src/Core/time_types.h"

#include <cstdint>

namespace sycamorespan {

/** \brief Counts the units in use of a holder's share of a budget, such as connections or slots of
 * one backend server.
 *
 * Units in use are never revoked: after a reduction of the share, no unit is acquired until enough
 * units have been released.
 * \sa allotment_lease
 */
class unit_budget
{
public:
    /** \brief Sets the share. \param validUntil  time from which no unit is acquired */
    void setShare(std::int64_t units, time_point validUntil);

    /** \brief Acquires a unit if one is free and the share is valid. \returns whether it did */
    bool tryAcquire(time_point now);

    /** \brief Ends the use of one unit. */
    void release();

    std::int64_t inUse() const { return m_inUse; }
    std::int64_t units() const { return m_units; }

    /** \returns the demand: the units in use and those that \a waiting requests could use. */
    std::int64_t wanted(std::int64_t waiting) const { return m_inUse + waiting; }

private:
    std::int64_t m_units = 0;
    std::int64_t m_inUse = 0;
    time_point m_validUntil;
};

} // namespace sycamorespan

#endif
