#ifndef SYCAMORESPAN_CORE_ERROR_H
#define SYCAMORESPAN_CORE_ERROR_H

#include <stdexcept>

namespace sycamorespan {

/** \brief Base class of the exceptions of the library. */
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** \brief Thrown when external input can't be decoded. */
class decode_error : public error
{
public:
    using error::error;
};

} // namespace sycamorespan

#endif
