#ifndef SYCAMORESPAN_SESSION_INTERNAL_SESSION_ERRORS_H
#define SYCAMORESPAN_SESSION_INTERNAL_SESSION_ERRORS_H

#include <string>
#include <string_view>

#include "sycamorespan/src/Protocol/backend_messages.h"

namespace sycamorespan::internal {

inline error_report errorOf(std::string_view code, const std::string &message)
{
    return {"ERROR", std::string(code), message, {}, {}};
}

} // namespace sycamorespan::internal

#endif
