#ifndef SYCAMORESPAN_PROGRAMS_NODE_TABLE_FOLLOWER_H
#define SYCAMORESPAN_PROGRAMS_NODE_TABLE_FOLLOWER_H

#include "programs/node/store_client.h"

#include "sycamorespan/src/Net/loop_timer.h"
#include "sycamorespan/src/Overload/backoff.h"

#include <functional>
#include <string>

namespace sycamorespan::node {

/** \brief Keeps up with one table of the store: reads it once, then waits for changes. */
class table_follower
{
public:
    struct handlers
    {
        /** The whole table. */
        std::function<void(const platform::store_rows &)> onSnapshot;
        /** Rows that changed. */
        std::function<void(const platform::store_rows &)> onChanges;
        /** The store answered, or did not. */
        std::function<void(bool)> onContact;
    };

    /** \param wait  how long the store may hold a question for changes back; bounds how late a
     *               connection that went silent is noticed
     */
    table_follower(ev::loop_ref loop, store_client &store, std::string table, duration wait,
                   random_source random, handlers callbacks);

    /** \brief Starts or stops waiting for changes; the table is read once in any case. */
    void setFollowing(bool following);

    /** \brief Reads the table now, unless that is under way: somebody knows of a change. */
    void refresh();

    std::uint64_t revision() const { return m_revision; }
    bool isRead() const { return m_isRead; }
    bool isFollowing() const { return m_isFollowing; }

private:
    void proceed();
    void read();
    void follow();
    void handleRead(const store_answer &answer);
    void handleChanges(const store_answer &answer);
    void retryLater();

    store_client &m_store;
    std::string m_table;
    duration m_wait;
    handlers m_handlers;
    backoff m_backoff;
    loop_timer m_retry;
    std::uint64_t m_revision = 0;
    std::uint64_t m_generation = 0; ///< of the question for changes under way
    bool m_isRead = false;
    bool m_isFollowing = false;
    bool m_reading = false;
    bool m_waiting = false;
};

} // namespace sycamorespan::node

#endif
