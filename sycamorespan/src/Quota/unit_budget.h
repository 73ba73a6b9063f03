#ifndef SYCAMORESPAN_QUOTA_UNIT_BUDGET_H
#define SYCAMORESPAN_QUOTA_UNIT_BUDGET_H

#include "sycamorespan/src/Core/time_types.h"

#include <cstdint>

namespace sycamorespan {

/** \brief Counts what a holder uses of its share of a budget: connections or slots of one backend
 * server. What is in use is never taken away: a reduced share is given back as units are released.
 * \sa allotment_lease
 */
class unit_budget
{
public:
    /** \brief Takes a new share. \param validUntil  no unit is acquired from then on */
    void setShare(std::int64_t units, time_point validUntil);

    /** \returns whether a unit was free and the share valid; the unit is then in use. */
    bool tryAcquire(time_point now);

    /** \brief Ends the use of one unit. */
    void release();

    std::int64_t inUse() const { return m_inUse; }
    std::int64_t units() const { return m_units; }

    /** \returns units that this holder could use now: those in use and \a waiting ones. */
    std::int64_t wanted(std::int64_t waiting) const { return m_inUse + waiting; }

private:
    std::int64_t m_units = 0;
    std::int64_t m_inUse = 0;
    time_point m_validUntil;
};

} // namespace sycamorespan

#endif
