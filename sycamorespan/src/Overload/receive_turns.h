#ifndef SYCAMORESPAN_OVERLOAD_RECEIVE_TURNS_H
#define SYCAMORESPAN_OVERLOAD_RECEIVE_TURNS_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace sycamorespan {

/** \brief Limits the number of large messages that are received at the same time from peers whose
 * connections are paused and not closed.
 *
 * The messages get their turns in the order in which they became large.
 */
class receive_turns
{
public:
    /** \param turns     number of large messages that are received at the same time; at least 1
     * \param smallBytes  size up to which a message is received in any case
     */
    receive_turns(std::size_t turns, std::size_t smallBytes)
        : m_turns(turns)
        , m_smallBytes(smallBytes)
    { }

    /** \brief Replaces the bytes that are held of a connection's incomplete message. */
    void changed(std::uint64_t connection, std::size_t bytes)
    {
        const auto found = std::ranges::find(m_large, connection);
        if (bytes <= m_smallBytes)
            closed(connection);
        else if (found == m_large.end())
            m_large.push_back(connection);
    }

    void closed(std::uint64_t connection) { std::erase(m_large, connection); }

    /** \returns whether the connection may be read. */
    bool mayReceive(std::uint64_t connection) const
    {
        const auto position = std::ranges::find(m_large, connection) - m_large.begin();
        return static_cast<std::size_t>(position) < m_turns
               || static_cast<std::size_t>(position) == m_large.size();
    }

private:
    std::size_t m_turns;
    std::size_t m_smallBytes;
    std::vector<std::uint64_t> m_large; ///< connections, the longest-waiting first
};

} // namespace sycamorespan

#endif
