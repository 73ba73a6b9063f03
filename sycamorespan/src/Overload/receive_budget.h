#ifndef SYCAMORESPAN_OVERLOAD_RECEIVE_BUDGET_H
#define SYCAMORESPAN_OVERLOAD_RECEIVE_BUDGET_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace sycamorespan {

/** \brief Limits the bytes of incomplete messages from trusted peers, whose connections are paused
 * and not closed.
 *
 * While the budget is used up only small messages and the largest one are received, so that one
 * message after another is completed.
 */
class receive_budget
{
public:
    /** \param budgetBytes  for all connections together
     * \param smallBytes    size up to which a message is received in any case
     */
    receive_budget(std::size_t budgetBytes, std::size_t smallBytes)
        : m_budgetBytes(budgetBytes)
        , m_smallBytes(smallBytes)
    { }

    /** \brief Replaces the bytes that are held of an incomplete message. */
    void changed(std::uint64_t connection, std::size_t bytes)
    {
        closed(connection);
        if (bytes == 0)
            return;
        m_connections[connection] = bytes;
        m_bySize.emplace(bytes, connection);
        m_heldBytes += bytes;
    }

    void closed(std::uint64_t connection)
    {
        const auto found = m_connections.find(connection);
        if (found == m_connections.end())
            return;
        m_heldBytes -= found->second;
        m_bySize.erase({found->second, connection});
        m_connections.erase(found);
    }

    /** \returns whether the connection may be read. */
    bool mayReceive(std::uint64_t connection) const
    {
        const auto found = m_connections.find(connection);
        return found == m_connections.end() || found->second <= m_smallBytes
               || m_heldBytes <= m_budgetBytes || m_bySize.rbegin()->second == connection;
    }

    std::size_t heldBytes() const { return m_heldBytes; }

private:
    std::size_t m_budgetBytes;
    std::size_t m_smallBytes;
    std::map<std::uint64_t, std::size_t> m_connections;
    std::set<std::pair<std::size_t, std::uint64_t>> m_bySize; ///< held bytes and connection
    std::size_t m_heldBytes = 0;
};

} // namespace sycamorespan

#endif
