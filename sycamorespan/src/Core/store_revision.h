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

/** \brief A number of the store's counter of transactions, with the era that has given it out.
 *
 * A store that returns from an older copy gives the same numbers out again. Revisions are therefore
 * ordered by their era first: what was read in a later era is newer.
 *
 * \tparam Subject  what has the revision, so that the revisions of different subjects are different
 *                  types
 */
template<typename Subject>
class basic_revision
{
public:
    /** \brief The revision before the first one: that of a row that does not exist. */
    constexpr basic_revision() = default;
    /** \brief A revision of a store without eras. Not explicit, as such a revision is a number. */
    constexpr basic_revision(std::uint64_t number)
        : m_number(number)
    { }
    constexpr basic_revision(store_era era, std::uint64_t number)
        : m_era(era)
        , m_number(number)
    { }

    constexpr store_era era() const { return m_era; }
    /** \returns the number by which the store knows the revision within its era. */
    constexpr std::uint64_t number() const { return m_number; }

    /** \returns the greatest revision that is smaller than this one, which must not be the first.
     */
    constexpr basic_revision previous() const
    {
        return m_number > 0 ? basic_revision(m_era, m_number - 1)
                            : basic_revision(m_era - 1, std::numeric_limits<std::uint64_t>::max());
    }

    friend constexpr auto operator<=>(const basic_revision &, const basic_revision &) = default;

private:
    store_era m_era = 0;
    std::uint64_t m_number = 0;
};

/** \brief Revision of the transaction that has written a row last, which a later write of the row
 * can require. Only the row itself tells it. Whether the row was also written in the era of its
 * revision is not part of it.
 */
using row_revision = basic_revision<struct row_subject>;

/** \brief Newest revision in the whole store at some moment. After a transaction it may be that of
 * a later one, so that no row need have it.
 */
using store_revision = basic_revision<struct store_subject>;

/** \returns the revision of the store right after the transaction that has written the row. */
constexpr store_revision storeAfter(row_revision row)
{
    return {row.era(), row.number()};
}

/** \returns the text for logs: "NUMBER", or "ERA:NUMBER" if the store names its era. */
template<typename Subject>
std::string textOf(basic_revision<Subject> revision)
{
    const auto number = std::to_string(revision.number());
    return revision.era() == 0 ? number : std::to_string(revision.era()) + ':' + number;
}

} // namespace sycamorespan

#endif
