#ifndef SYCAMORESPAN_PROGRAMS_NODE_DOCUMENT_FETCHER_H
#define SYCAMORESPAN_PROGRAMS_NODE_DOCUMENT_FETCHER_H

#include "programs/node/event_guard.h"
#include "programs/node/event_log.h"

#include "sycamorespan/src/Core/random_source.h"
#include "sycamorespan/src/Net/http_client.h"
#include "sycamorespan/src/Net/loop_timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamorespan::node {

/** \brief Fetches documents from other instances that have newer ones. It fetches at most every few
 * hundred milliseconds and after a random delay, because many instances hear of a newer document
 * from the same one at the same time. Each document has one transfer at a time.
 */
class document_fetcher
{
public:
    struct handlers
    {
        std::function<void(const std::string &body)> onDocument;
        std::function<void()> onFailure;
    };

    document_fetcher(ev::loop_ref loop, event_log &log, event_guard &guard, random_source random);

    /** \brief Adds the document at \a path, which has the same path on all instances. */
    void add(const std::string &path, handlers callbacks);

    /** \brief Has the document fetched from the instance at \a address. While the document is being
     * transferred, this has no effect: whoever needs a newer one must request it again afterwards.
     */
    void request(const std::string &path, const std::string &address);

private:
    void fetch();
    void fetch(const std::string &path, const std::string &address);
    void handle(const std::string &path, const std::string &address, const http_outcome &outcome);
    bool isTransferred(const std::string &path) const;

    ev::loop_ref m_loop;
    event_log &m_log;
    event_guard &m_guard;
    random_source m_random;
    std::map<std::string, handlers> m_documents;
    std::map<std::string, std::string> m_requested; ///< addresses by path
    std::map<std::string, std::unique_ptr<http_client>> m_clients; ///< by path
    loop_timer m_timer;
    time_point m_lastFetchAt;
};

} // namespace sycamorespan::node

#endif
