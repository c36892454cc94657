#pragma once

#include <optional>
#include <span>

#include "json/json.h"
#include "settings/settings.h"

namespace poplarshed::settings {

/// Text of each enumerator, in declaration order.
std::span<const std::string_view> names_of(placement_policy);
std::span<const std::string_view> names_of(severity);

/// Converts a JSON value to the type of a setting; nothing if it has another type or form.
std::optional<bool> read_value(const json::value& item, const setting<bool>&);
std::optional<std::uint64_t> read_value(const json::value& item, const setting<std::uint64_t>&);
std::optional<byte_size> read_value(const json::value& item, const setting<byte_size>&);
std::optional<milliseconds> read_value(const json::value& item, const setting<milliseconds>&);
std::optional<std::string> read_value(const json::value& item, const setting<std::string>& declaration);
std::optional<placement_policy> read_value(const json::value& item, const setting<placement_policy>&);
std::optional<severity> read_value(const json::value& item, const setting<severity>&);
std::optional<peer_list> read_value(const json::value& item, const setting<peer_list>&);

/// What a declaration accepts, for error messages and the reference.
template <class T>
std::string allowed_text(const setting<T>& declaration)
{
    if constexpr (std::is_same_v<T, bool>) {
        return "true or false";
    } else if constexpr (std::is_same_v<T, std::string>) {
        return declaration.rule == nullptr ? "any text" : std::string(declaration.rule->allowed);
    } else if constexpr (std::is_same_v<T, peer_list>) {
        return R"(a list of {"address": "ip:port", "data_centre": "name"})";
    } else if constexpr (std::is_enum_v<T>) {
        std::string text;
        for (const std::string_view name : names_of(T{})) {
            text += (text.empty() ? "" : ", ") + std::string(name);
        }
        return "one of " + text;
    } else {
        return to_text(setting_value(*declaration.minimum)) + " to " +
               to_text(setting_value(*declaration.maximum));
    }
}

/// Whether a value is inside the bounds of its declaration.
template <class T>
bool within_bounds(const T& value, const setting<T>& declaration)
{
    if constexpr (std::is_same_v<T, std::uint64_t> || std::is_same_v<T, byte_size> ||
                  std::is_same_v<T, milliseconds>) {
        return value >= *declaration.minimum && value <= *declaration.maximum;
    } else {
        return true;
    }
}

}  // namespace poplarshed::settings
