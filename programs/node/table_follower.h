#ifndef SYCAMORESPAN_PROGRAMS_NODE_TABLE_FOLLOWER_H
#define SYCAMORESPAN_PROGRAMS_NODE_TABLE_FOLLOWER_H

#include "programs/node/store_client.h"

#include "sycamorespan/src/Net/loop_timer.h"
#include "sycamorespan/src/Overload/backoff.h"

#include <functional>
#include <string>

namespace sycamorespan::node {

/** \brief Follows one table of the store: reads it once, then receives its changes by long polling.
 */
class table_follower
{
public:
    struct handlers
    {
        /** Called with all rows of the table. */
        std::function<void(const platform::store_rows &)> onSnapshot;
        /** Called with the rows that have changed. */
        std::function<void(const platform::store_rows &)> onChanges;
        /** Called after each call with whether the store answered. */
        std::function<void(bool)> onStoreContact;
    };

    /** \param wait  how long the store may hold a request for changes back; it limits how late an
     *               unresponsive connection is detected
     */
    table_follower(ev::loop_ref loop, store_client &store, std::string table, duration wait,
                   event_guard &guard, random_source random, handlers callbacks);

    /** \brief Starts or stops waiting for changes; the table is read once in any case. */
    void setFollowing(bool following);

    /** \brief Reads the table now, unless a read is under way. Called after a known change. */
    void refresh();

    store_revision revision() const { return m_revision; }
    bool hasSnapshot() const { return m_hasSnapshot; }
    bool isFollowing() const { return m_isFollowing; }

private:
    void readOrFollow();
    void read();
    void follow();
    void handleRead(const store_answer &answer);
    void handleChanges(const store_answer &answer);
    void retryLater();

    store_client &m_store;
    std::string m_table;
    duration m_longPollWait;
    event_guard &m_guard;
    handlers m_handlers;
    backoff m_backoff;
    loop_timer m_retry;
    store_revision m_revision;
    std::uint64_t m_followGeneration = 0; ///< number of the latest request for changes
    bool m_hasSnapshot = false;
    bool m_isFollowing = false;
    bool m_isReading = false;
    bool m_isWaitingForChanges = false;
};

} // namespace sycamorespan::node

#endif
