#ifndef SYCAMORESPAN_SCHEMA_FIELD_H
#define SYCAMORESPAN_SCHEMA_FIELD_H

#include <string_view>

namespace sycamorespan::schema {

/** \brief Whether an object without the field is refused or keeps the member's initial value. */
enum class presence { required, optional };

/** \brief One field of a generated value type. */
template<typename Object, typename Value, typename Limits>
struct field
{
    std::string_view name;
    Value Object::*member;
    Limits limits;
    presence need;
};

template<typename Object, typename Value, typename Limits>
field(std::string_view, Value Object::*, Limits, presence) -> field<Object, Value, Limits>;

/** \brief The fields of a generated type as the tuple \c fields; specialized by generated code. */
template<typename Object>
struct description;

/** \brief The names of an enumeration's values in order as the array \c names; specialized by
 * generated code.
 */
template<typename Enum>
struct enumeration;

} // namespace sycamorespan::schema

#endif
