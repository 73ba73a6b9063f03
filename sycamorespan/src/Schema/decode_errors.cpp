#include "sycamorespan/src/Schema/decode_errors.h"

#include "sycamorespan/src/Core/error.h"

namespace sycamorespan::schema {

void decode_errors::add(std::string path, std::string message)
{
    m_entries.push_back({std::move(path), std::move(message)});
}

void decode_errors::throwIfAny() const
{
    if (m_entries.empty())
        return;
    std::string text;
    for (const auto &[path, message] : m_entries) {
        if (!text.empty())
            text += "; ";
        text += path;
        text += ": ";
        text += message;
    }
    throw decode_error(text);
}

std::string memberPath(const std::string &path, std::string_view name)
{
    std::string result = path;
    if (!result.empty())
        result += '.';
    result += name;
    return result;
}

std::string itemPath(const std::string &path, std::size_t index)
{
    return path + '[' + std::to_string(index) + ']';
}

} // namespace sycamorespan::schema
