#ifndef SYCAMORESPAN_CORE_JSON_REVISION_H
#define SYCAMORESPAN_CORE_JSON_REVISION_H

#include "sycamorespan/src/Core/json_integer.h"
#include "sycamorespan/src/Core/store_revision.h"

namespace sycamorespan {

/** \brief Converts a revision to a number, or to an array of era and number if the store names its
 * era. Called by nlohmann::json.
 */
template<typename Subject>
// NOLINTNEXTLINE(readability-identifier-naming): nlohmann::json prescribes the name.
void to_json(nlohmann::json &value, const basic_revision<Subject> &revision)
{
    if (revision.era() == 0)
        value = revision.number();
    else
        value = nlohmann::json::array({revision.era(), revision.number()});
}

/** \throws decode_error when \a value is no revision
 * \throws nlohmann::json::exception when it lacks a number
 */
template<typename Revision>
Revision toRevision(const nlohmann::json &value)
{
    if (!value.is_array())
        return toInteger<std::uint64_t>(value);
    return {toInteger<store_era>(value.at(0)), toInteger<std::uint64_t>(value.at(1))};
}

} // namespace sycamorespan

#endif
