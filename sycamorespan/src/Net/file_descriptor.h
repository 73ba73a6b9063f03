#ifndef SYCAMORESPAN_NET_FILE_DESCRIPTOR_H
#define SYCAMORESPAN_NET_FILE_DESCRIPTOR_H

#include <utility>

#include <unistd.h>

namespace sycamorespan {

/** \brief Owner of a file descriptor, which the destructor closes. */
class file_descriptor
{
public:
    file_descriptor() = default;
    explicit file_descriptor(int descriptor) noexcept
        : m_descriptor(descriptor)
    { }
    file_descriptor(file_descriptor &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    { }
    file_descriptor &operator=(file_descriptor &&other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }
    file_descriptor(const file_descriptor &) = delete;
    file_descriptor &operator=(const file_descriptor &) = delete;
    ~file_descriptor()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }

    int get() const noexcept { return m_descriptor; }
    explicit operator bool() const noexcept { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

} // namespace sycamorespan

#endif
