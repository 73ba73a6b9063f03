#ifndef SYCAMORESPAN_PROGRAMS_NODE_REJECTED_ENTRIES_H
#define SYCAMORESPAN_PROGRAMS_NODE_REJECTED_ENTRIES_H

#include "platform/documents.h"

#include "programs/node/event_log.h"
#include "programs/node/node_metrics.h"

#include "sycamorespan/src/Core/store_revision.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamorespan::node {

/** \brief Logs and counts the entries of lists that could not be decoded. Such an entry is left
 * out; the other entries of its list are used.
 */
class rejected_entries
{
public:
    rejected_entries(event_log &log, node_metrics &metrics)
        : m_log(log)
        , m_metrics(metrics)
    { }

    /** \brief Notes one entry. An entry that is read again in the same revision has no effect.
     * \param revision  of the store after the row, or the list, was written
     */
    void note(const std::string &list, const std::string &entry, store_revision revision,
              std::string_view cause, time_point now);
    /** \brief Notes the entries of a document, or the fields of an entry. */
    void note(const std::vector<platform::rejected_entry> &entries, store_revision revision,
              time_point now);

private:
    event_log &m_log;
    node_metrics &m_metrics;
    std::map<std::pair<std::string, std::string>, store_revision> m_noted; ///< last revision
};

} // namespace sycamorespan::node

#endif
