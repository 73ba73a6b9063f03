#ifndef SYCAMORESPAN_NET_INTERNAL_UNIQUE_FD_H
#define SYCAMORESPAN_NET_INTERNAL_UNIQUE_FD_H

#include <unistd.h>

#include <utility>

namespace sycamorespan::internal {

/** \brief Owner of a file descriptor. */
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd)
        : m_fd(fd)
    { }
    unique_fd(unique_fd &&other) noexcept
        : m_fd(std::exchange(other.m_fd, none))
    { }
    unique_fd &operator=(unique_fd &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_fd = std::exchange(other.m_fd, none);
        }
        return *this;
    }
    ~unique_fd() { reset(); }

    int get() const noexcept { return m_fd; }
    explicit operator bool() const noexcept { return m_fd != none; }

    void reset() noexcept
    {
        if (m_fd != none)
            ::close(std::exchange(m_fd, none));
    }

private:
    static constexpr int none = -1;
    int m_fd = none;
};

} // namespace sycamorespan::internal

#endif
