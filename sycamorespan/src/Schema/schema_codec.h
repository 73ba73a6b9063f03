#ifndef SYCAMORESPAN_SCHEMA_SCHEMA_CODEC_H
#define SYCAMORESPAN_SCHEMA_SCHEMA_CODEC_H

#include "sycamorespan/src/Core/identifiers.h"
#include "sycamorespan/src/Schema/decode_errors.h"
#include "sycamorespan/src/Schema/field.h"
#include "sycamorespan/src/Schema/limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace sycamorespan::schema {

/** \brief Path of the value being decoded, and the collector of its errors. */
struct decode_context
{
    std::string path;
    decode_errors &errors;

    void addError(std::string message) const { errors.add(path, std::move(message)); }
};

/** \brief Decodes an object of a generated type.
 * \param source   the JSON value
 * \param context  path of the value and collector of errors
 * \param target   receives the fields that are valid
 */
template<typename Object>
void decodeObject(const nlohmann::json &source, const decode_context &context, Object &target);

/** \returns \a source, an object of a generated type, as JSON. */
template<typename Object>
nlohmann::json encodeObject(const Object &source);

namespace internal {

inline bool checkText(const nlohmann::json &source, const text_limits &limits,
                      const decode_context &context)
{
    if (!source.is_string()) {
        context.addError("must be a string");
        return false;
    }
    const auto &text = source.get_ref<const std::string &>();
    if (!isUtf8(text)) {
        context.addError("must be UTF-8");
        return false;
    }
    const auto length = text.size();
    if (length < limits.minimumLength || length > limits.maximumLength) {
        context.addError("must have " + std::to_string(limits.minimumLength) + " to "
                         + std::to_string(limits.maximumLength) + " bytes, has "
                         + std::to_string(length));
        return false;
    }
    return true;
}

template<typename Limits>
void addRangeError(const Limits &limits, const decode_context &context)
{
    context.addError("must be from " + std::to_string(limits.minimum) + " to "
                     + std::to_string(limits.maximum));
}

inline void decodeValue(const nlohmann::json &source, const text_limits &limits,
                        const decode_context &context, std::string &target)
{
    if (checkText(source, limits, context))
        target = source.get<std::string>();
}

template<typename Tag>
void decodeValue(const nlohmann::json &source, const text_limits &limits,
                 const decode_context &context, identifier<Tag> &target)
{
    if (checkText(source, limits, context))
        target = identifier<Tag>(source.get<std::string>());
}

inline void decodeValue(const nlohmann::json &source, const socket_address_limits &,
                        const decode_context &context, std::string &target)
{
    if (source.is_string() && isSocketAddress(source.get_ref<const std::string &>()))
        target = source.get<std::string>();
    else
        context.addError("must be an address of the form IP:port");
}

inline void decodeValue(const nlohmann::json &source, const url_limits &,
                        const decode_context &context, std::string &target)
{
    if (source.is_string() && isHttpUrl(source.get_ref<const std::string &>()))
        target = source.get<std::string>();
    else
        context.addError("must be a URL that starts with http:// or https://");
}

inline void decodeValue(const nlohmann::json &source, const unsigned_limits &limits,
                        const decode_context &context, std::uint64_t &target)
{
    if (!source.is_number_integer()) {
        context.addError("must be an integer");
        return;
    }
    const bool isNegative = !source.is_number_unsigned() && source.get<std::int64_t>() < 0;
    const auto value = source.get<std::uint64_t>();
    if (isNegative || value < limits.minimum || value > limits.maximum)
        addRangeError(limits, context);
    else
        target = value;
}

inline void decodeValue(const nlohmann::json &source, const unsigned_limits &limits,
                        const decode_context &context, std::chrono::milliseconds &target)
{
    std::uint64_t count = 0;
    decodeValue(source, limits, context, count);
    target = std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(count));
}

inline void decodeValue(const nlohmann::json &source, const signed_limits &limits,
                        const decode_context &context, std::int64_t &target)
{
    if (!source.is_number_integer()) {
        context.addError("must be an integer");
        return;
    }
    const auto value = source.get<std::int64_t>();
    const bool isTooLarge = source.is_number_unsigned() && value < 0;
    if (isTooLarge || value < limits.minimum || value > limits.maximum)
        addRangeError(limits, context);
    else
        target = value;
}

inline void decodeValue(const nlohmann::json &source, const real_limits &limits,
                        const decode_context &context, double &target)
{
    if (!source.is_number()) {
        context.addError("must be a number");
        return;
    }
    const auto value = source.get<double>();
    if (!std::isfinite(value) || value < limits.minimum || value > limits.maximum)
        addRangeError(limits, context);
    else
        target = value;
}

inline void decodeValue(const nlohmann::json &source, const boolean_limits &,
                        const decode_context &context, bool &target)
{
    if (source.is_boolean())
        target = source.get<bool>();
    else
        context.addError("must be true or false");
}

template<typename Enum>
void decodeValue(const nlohmann::json &source, const enumeration_limits &,
                 const decode_context &context, Enum &target)
{
    constexpr auto &names = enumeration<Enum>::names;
    const auto found = source.is_string()
                               ? std::ranges::find(names, source.get_ref<const std::string &>())
                               : names.end();
    if (found != names.end()) {
        target = static_cast<Enum>(found - names.begin());
        return;
    }
    std::string allowed;
    for (const auto name : names)
        allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    context.addError("must be one of " + allowed);
}

template<typename Object>
void decodeValue(const nlohmann::json &source, const object_limits &, const decode_context &context,
                 Object &target)
{
    decodeObject(source, context, target);
}

template<typename Item, typename ItemLimits>
void decodeValue(const nlohmann::json &source, const array_limits<ItemLimits> &limits,
                 const decode_context &context, std::vector<Item> &target)
{
    if (!source.is_array()) {
        context.addError("must be an array");
        return;
    }
    if (source.size() > limits.maximumItems) {
        context.addError("must have at most " + std::to_string(limits.maximumItems) + " items, has "
                         + std::to_string(source.size()));
        return;
    }
    target.resize(source.size());
    for (std::size_t index = 0; index < source.size(); ++index)
        decodeValue(source[index], limits.item, {itemPath(context.path, index), context.errors},
                    target[index]);
}

template<typename Key, typename Item, typename ItemLimits>
void decodeValue(const nlohmann::json &source, const map_limits<ItemLimits> &limits,
                 const decode_context &context, std::map<Key, Item> &target)
{
    if (!source.is_object()) {
        context.addError("must be an object");
        return;
    }
    if (source.size() > limits.maximumItems) {
        context.addError("must have at most " + std::to_string(limits.maximumItems)
                         + " entries, has " + std::to_string(source.size()));
        return;
    }
    for (const auto &[name, item] : source.items()) {
        const decode_context itemContext{memberPath(context.path, name), context.errors};
        if (checkText(nlohmann::json(name), limits.key, itemContext))
            decodeValue(item, limits.item, itemContext, target[Key(name)]);
    }
}

template<typename Value, typename Limits>
void decodeMember(const nlohmann::json &source, const Limits &limits, const decode_context &context,
                  Value &target)
{
    decodeValue(source, limits, context, target);
}

template<typename Value, typename Limits>
void decodeMember(const nlohmann::json &source, const Limits &limits, const decode_context &context,
                  std::optional<Value> &target)
{
    decodeValue(source, limits, context, target.emplace());
}

template<typename Object, typename Field>
void decodeField(const nlohmann::json &source, const Field &field, const decode_context &context,
                 Object &target)
{
    const decode_context fieldContext{memberPath(context.path, field.name), context.errors};
    const auto found = source.find(field.name);
    if (found != source.end())
        decodeMember(*found, field.limits, fieldContext, target.*field.member);
    else if (field.need == presence::required)
        fieldContext.addError("is missing");
}

inline nlohmann::json encodeValue(const std::string &value)
{
    return value;
}

template<typename Tag>
nlohmann::json encodeValue(const identifier<Tag> &value)
{
    return value.str();
}

inline nlohmann::json encodeValue(std::chrono::milliseconds value)
{
    return static_cast<std::uint64_t>(value.count());
}

template<typename Value>
nlohmann::json encodeValue(const Value &value)
{
    if constexpr (std::is_enum_v<Value>)
        return enumeration<Value>::names.at(static_cast<std::size_t>(value));
    else if constexpr (std::is_arithmetic_v<Value>)
        return value;
    else
        return encodeObject(value);
}

template<typename Item>
nlohmann::json encodeValue(const std::vector<Item> &items)
{
    auto result = nlohmann::json::array();
    for (const auto &item : items)
        result.push_back(encodeValue(item));
    return result;
}

template<typename Key, typename Item>
nlohmann::json encodeValue(const std::map<Key, Item> &items)
{
    auto result = nlohmann::json::object();
    for (const auto &[key, item] : items)
        result[encodeValue(key).template get<std::string>()] = encodeValue(item);
    return result;
}

template<typename Value>
void encodeField(nlohmann::json &target, std::string_view name, const Value &value)
{
    target[std::string(name)] = encodeValue(value);
}

template<typename Value>
void encodeField(nlohmann::json &target, std::string_view name, const std::optional<Value> &value)
{
    if (value)
        encodeField(target, name, *value);
}

} // namespace internal

template<typename Object>
void decodeObject(const nlohmann::json &source, const decode_context &context, Object &target)
{
    if (!source.is_object()) {
        context.addError("must be an object");
        return;
    }
    std::apply(
            [&](const auto &...fields) {
                (internal::decodeField(source, fields, context, target), ...);
                for (const auto &[name, value] : source.items()) {
                    const bool isKnown = ((fields.name == name) || ...);
                    if (!isKnown)
                        context.errors.add(memberPath(context.path, name), "is not a known field");
                }
            },
            description<Object>::fields);
}

template<typename Object>
nlohmann::json encodeObject(const Object &source)
{
    auto result = nlohmann::json::object();
    std::apply(
            [&](const auto &...fields) {
                (internal::encodeField(result, fields.name, source.*fields.member), ...);
            },
            description<Object>::fields);
    return result;
}

/** \brief Decodes an object of a generated type.
 * \param source  the JSON value
 * \param path    the path of \a source in error messages
 * \throws decode_error that names every field that violates the schema
 */
template<typename Object>
Object decodeOrThrow(const nlohmann::json &source, const std::string &path)
{
    decode_errors errors;
    Object result;
    decodeObject(source, {path, errors}, result);
    errors.throwIfAny();
    return result;
}

} // namespace sycamorespan::schema

#endif
