#ifndef SYCAMORESPAN_STANDINS_PLATFORM_INSTANCE_HISTORY_H
#define SYCAMORESPAN_STANDINS_PLATFORM_INSTANCE_HISTORY_H

#include "sycamorespan/Net"

#include <map>
#include <string>

namespace sycamorespan::standin {

/** \brief Instance list with its previous versions. */
class instance_history
{
public:
    /** \brief Adds an entry or replaces the one of the same instance. */
    void put(const listed_instance &entry, time_point now);

    /** \brief Removes the entry of \a instance, if there is one. */
    void remove(const instance_id &instance, time_point now);

    /** \returns the list as it was at \a when; an empty list before the first version. */
    instance_list at(time_point when) const;

private:
    using entries = std::map<instance_id, listed_instance>;

    entries latest() const;
    void addVersion(entries next, time_point now);

    std::map<time_point, entries> m_versions;
};

} // namespace sycamorespan::standin

#endif
