#ifndef SYCAMORESPAN_STANDINS_PLATFORM_INSTANCE_HISTORY_H
#define SYCAMORESPAN_STANDINS_PLATFORM_INSTANCE_HISTORY_H

#include "sycamorespan/Net"

#include <map>
#include <string>

namespace sycamorespan::standin {

/** \brief The instance list as it is and as it was. */
class instance_history
{
public:
    /** \brief Adds or replaces an entry. */
    void put(const listed_instance &entry, time_point now);

    /** \brief Removes an entry, if there is one. */
    void remove(const instance_id &instance, time_point now);

    /** \returns the list as it was at \a when. */
    instance_list at(time_point when) const;

private:
    using entries = std::map<instance_id, listed_instance>;

    entries latest() const;
    void append(entries next, time_point now);

    std::map<time_point, entries> m_versions;
};

} // namespace sycamorespan::standin

#endif
