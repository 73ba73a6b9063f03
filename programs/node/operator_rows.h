#ifndef SYCAMORESPAN_PROGRAMS_NODE_OPERATOR_ROWS_H
#define SYCAMORESPAN_PROGRAMS_NODE_OPERATOR_ROWS_H

#include "platform/store_protocol.h"

#include "programs/node/document_fetcher.h"
#include "programs/node/event_log.h"
#include "programs/node/rejected_entries.h"

#include "sycamorespan/src/Configuration/service_directory.h"
#include "sycamorespan/src/Membership/evacuation_list.h"
#include "sycamorespan/src/Membership/fleet_messages.h"

#include <functional>
#include <memory>
#include <string>

namespace sycamorespan::node {

/** \brief What operators have written: the configuration in force and the evacuations. A row that
 * can't be used leaves what its predecessor said in force.
 */
class operator_rows
{
public:
    struct handlers
    {
        /** Called when a newer configuration is in force. */
        std::function<void(const std::shared_ptr<const service_directory> &)> onConfiguration;
        /** Called when the list of evacuated data centres has changed. */
        std::function<void()> onEvacuations;
        /** \returns whether nothing is sent any more to the members of a data centre. */
        std::function<bool(const data_centre_id &, time_point)> hasLeft;
        /** \returns the open connections to the members of a data centre. */
        std::function<std::size_t(const data_centre_id &)> connectionsTo;
    };

    /** Paths of the documents, which are the same on all instances. */
    inline static const std::string configurationPath = "/configuration.z";
    inline static const std::string evacuationsPath = "/evacuations.z";

    /** \param followsEvacuations  whether evacuations are in force in this deployment */
    operator_rows(event_log &log, rejected_entries &rejected, bool followsEvacuations,
                  handlers callbacks);

    /** \brief Handles rows of the operators' table.
     * \param isSnapshot  whether \a content is the whole table
     */
    void apply(const platform::store_rows &content, bool isSnapshot);
    /** \brief Adds the documents to those that are fetched from other instances.
     * \param readStore  reads the operators' table when a document can't be fetched or decoded
     */
    void fetchWith(document_fetcher &fetcher, const std::function<void()> &readStore);
    /** \brief Has the documents fetched that are newer at another instance. */
    void requestNewer(const fleet_news &news, document_fetcher &fetcher,
                      const std::string &address) const;
    /** \returns whether another instance has had a newer configuration for longer than the store
     * takes to tell a follower of it. A store that returned from an older copy may have lost that
     * one.
     */
    bool isLeftBehind(const fleet_news &news, time_point now);
    void addTo(fleet_news &news) const;
    /** \brief Logs once for each evacuation when nothing is sent to its members any more. */
    void tick(time_point now);

    /** \returns the document for other instances; empty if no configuration is known. */
    const std::string &configurationDocument() const { return m_configuration; }
    std::string evacuationsDocument() const;
    const evacuation_list &evacuations() const { return m_evacuations; }
    /** \returns the open connections to members of evacuated data centres. */
    std::size_t connections() const;

private:
    void applyEvacuations(const std::string &document, const std::function<void()> &readStore);
    void decodeConfiguration(const std::string &document, row_revision revision);
    bool isValid(const data_centre_id &dataCentre, const platform::store_row &row);
    void announceEvacuations();

    event_log &m_log;
    rejected_entries &m_rejected;
    bool m_followsEvacuations;
    handlers m_handlers;
    std::shared_ptr<const service_directory> m_directory;
    std::string m_configuration;
    std::optional<time_point> m_newerReportedAt; ///< when a newer configuration was first reported
    evacuation_list m_evacuations;
    std::set<data_centre_id> m_announced; ///< evacuations whose beginning was logged
    std::set<data_centre_id> m_completed; ///< evacuations whose completion was logged
};

} // namespace sycamorespan::node

#endif
