#ifndef SYCAMORESPAN_CORE_STORE_REVISION_H
#define SYCAMORESPAN_CORE_STORE_REVISION_H

#include <compare>
#include <cstdint>
#include <limits>
#include <string>

namespace sycamorespan {

/** \brief Era of the platform's store. It rises each time the store returns from an older copy of
 * its content, and with that has lost what it had accepted since. 0 if the store names none.
 */
using store_era = std::uint64_t;

/** \brief Revision of a row, or of the whole store.
 *
 * A store that returns from an older copy gives the same numbers out again. Revisions are therefore
 * ordered by their era first: what was read in a later era is newer. Whether a row was also written
 * in that era is not part of its revision.
 */
class store_revision
{
public:
    /** \brief The revision of a row that does not exist. */
    constexpr store_revision() = default;
    /** \brief A revision of a store without eras. Not explicit, as such a revision is a number. */
    constexpr store_revision(std::uint64_t number)
        : m_number(number)
    { }
    constexpr store_revision(store_era era, std::uint64_t number)
        : m_era(era)
        , m_number(number)
    { }

    constexpr store_era era() const { return m_era; }
    /** \returns the number by which the store knows the revision within its era. */
    constexpr std::uint64_t number() const { return m_number; }

    /** \returns the greatest revision that is smaller than this one, which must not be the first.
     */
    constexpr store_revision previous() const
    {
        return m_number > 0 ? store_revision(m_era, m_number - 1)
                            : store_revision(m_era - 1, std::numeric_limits<std::uint64_t>::max());
    }

    friend constexpr auto operator<=>(const store_revision &, const store_revision &) = default;

private:
    store_era m_era = 0;
    std::uint64_t m_number = 0;
};

/** \returns the text for logs: "NUMBER", or "ERA:NUMBER" if the store names its era. */
inline std::string textOf(store_revision revision)
{
    const auto number = std::to_string(revision.number());
    return revision.era() == 0 ? number : std::to_string(revision.era()) + ':' + number;
}

} // namespace sycamorespan

#endif
