#ifndef SYCAMORESPAN_SCHEMA_FIELD_H
#define SYCAMORESPAN_SCHEMA_FIELD_H

#include <string_view>

namespace sycamorespan::schema {

/** \brief Whether a field may be absent; the member then keeps its initial value. */
enum class presence { required, optional };

/** \brief Describes one field of a generated type. */
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

/** \brief Describes the fields of a generated type as the tuple \c fields. Generated code
 * specializes it.
 */
template<typename Object>
struct description;

/** \brief Names the enumerators of an enumeration in order, as the array \c names. Generated code
 * specializes it.
 */
template<typename Enum>
struct enumeration;

} // namespace sycamorespan::schema

#endif
