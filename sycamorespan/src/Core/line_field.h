#ifndef SYCAMORESPAN_CORE_LINE_FIELD_H
#define SYCAMORESPAN_CORE_LINE_FIELD_H

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "sycamorespan/src/Core/error.h"

namespace sycamorespan {

namespace internal {

/** \brief Text that Rule has checked. */
template<typename Rule>
class checked_text
{
public:
    checked_text()
        : m_text(Rule::unset)
    { }
    /** \throws decode_error if the rule does not allow \a text */
    checked_text(std::string text)
        : m_text(std::move(text))
    {
        if (!Rule::allows(m_text))
            throw decode_error(Rule::refusal);
    }
    checked_text(const char *text)
        : checked_text(std::string(text))
    { }

    const std::string &str() const noexcept { return m_text; }
    operator const std::string &() const noexcept { return m_text; }
    std::size_t size() const noexcept { return m_text.size(); }
    bool empty() const noexcept { return m_text.empty(); }

    auto operator<=>(const checked_text &) const = default;

private:
    std::string m_text;
};

struct line_text_rule
{
    static constexpr const char *unset = "";
    static constexpr const char *refusal = "the last field of a line holds a CR, LF or NUL";
    static bool allows(std::string_view text)
    {
        return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
    }
};

struct line_field_rule
{
    static constexpr const char *unset = "-";
    static constexpr const char *refusal = "a field is empty, or holds a blank, CR, LF or NUL";
    static bool allows(std::string_view text)
    {
        return !text.empty() && text.find(' ') == std::string_view::npos
               && line_text_rule::allows(text);
    }
};

} // namespace internal

/** \brief Text that is one field of a line, wherever it stands in it: at least one byte, and none
 * of them a blank, CR, LF or NUL. It is "-" until it is set.
 */
using line_field = internal::checked_text<internal::line_field_rule>;

/** \brief Text that is the last field of a line, which extends to its end: any bytes but CR, LF and
 * NUL.
 */
using line_text = internal::checked_text<internal::line_text_rule>;

} // namespace sycamorespan

#endif
