#ifndef SYCAMORESPAN_PROGRAMS_NODE_ANSWER_INTAKE_H
#define SYCAMORESPAN_PROGRAMS_NODE_ANSWER_INTAKE_H

#include "sycamorespan/src/Net/byte_stream.h"
#include "sycamorespan/src/Overload/receive_turns.h"

#include <map>

namespace sycamorespan::node {

/** \brief Pauses connections to members while too many large answers are in arrival. */
class answer_intake
{
public:
    /** \param memoryBytes  limit on the memory of the process; 0 if not known */
    explicit answer_intake(std::size_t memoryBytes);

    /** \returns the number of a new connection. */
    std::uint64_t add() { return ++m_lastConnection; }

    /** \brief Reads on the connections that may be read, and pauses \a stream if it may not.
     * \param bytes  held of the connection's incomplete answer
     */
    void changed(std::uint64_t connection, byte_stream &stream, std::size_t bytes);

    void remove(std::uint64_t connection);

private:
    void resume();

    receive_turns m_turns;
    std::map<std::uint64_t, byte_stream *> m_paused;
    std::uint64_t m_lastConnection = 0;
};

} // namespace sycamorespan::node

#endif
