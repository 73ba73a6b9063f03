#ifndef SYCAMORESPAN_SCHEMA_DECODE_ERRORS_H
#define SYCAMORESPAN_SCHEMA_DECODE_ERRORS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorespan::schema {

/** \brief Error in one field that violates its schema. */
struct field_error
{
    std::string path; /**< e.g. \c limits.sessions or \c peers[2] */
    std::string message;

    bool operator==(const field_error &) const = default;
};

/** \brief Collects all errors of one decoding. */
class decode_errors
{
public:
    void add(std::string path, std::string message);

    bool empty() const noexcept { return m_entries.empty(); }
    const std::vector<field_error> &entries() const noexcept { return m_entries; }

    /** \brief Throws a decode_error that names every field in error, if there is any. */
    void throwIfAny() const;

private:
    std::vector<field_error> m_entries;
};

/** \returns the path of the member \a name of the object at \a path. */
std::string memberPath(const std::string &path, std::string_view name);

/** \returns the path of the item \a index of the array at \a path. */
std::string itemPath(const std::string &path, std::size_t index);

} // namespace sycamorespan::schema

#endif
