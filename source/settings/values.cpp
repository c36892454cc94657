#include "settings/values.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace poplarshed::settings {

namespace {

struct unit_entry {
    std::string_view name;
    std::uint64_t factor;
};

// Largest first, so that a value is written in the largest unit that divides it.
constexpr std::array duration_units{unit_entry{"h", 3'600'000}, unit_entry{"min", 60'000},
                                    unit_entry{"s", 1'000}, unit_entry{"ms", 1}};
constexpr std::array size_units{unit_entry{"GiB", 1U << 30U}, unit_entry{"MiB", 1U << 20U},
                                unit_entry{"KiB", 1U << 10U}, unit_entry{"B", 1}};

constexpr std::array<std::string_view, 3> policy_names{"expected_finish", "random_choice",
                                                       "round_robin_static"};

std::optional<std::uint64_t> read_with_unit(std::string_view text, std::span<const unit_entry> units)
{
    // Keeps number times factor below 2^63.
    constexpr std::uint64_t max_number = 1'000'000'000;
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data(), end, number);
    if (fault != std::errc() || number > max_number) {
        return std::nullopt;
    }
    const std::string_view unit(stop, static_cast<std::size_t>(end - stop));
    const auto found = std::find_if(units.begin(), units.end(),
                                    [unit](const unit_entry& entry) { return entry.name == unit; });
    return found == units.end() ? std::nullopt : std::optional(number * found->factor);
}

std::string write_with_unit(std::uint64_t number, std::span<const unit_entry> units)
{
    const auto found = std::find_if(units.begin(), units.end(), [number](const unit_entry& entry) {
        return number != 0 && number % entry.factor == 0;
    });
    const unit_entry& entry = found == units.end() ? units.back() : *found;
    return std::to_string(number / entry.factor) + std::string(entry.name);
}

template <class Enum>
std::optional<Enum> read_enum(const json::value& item)
{
    if (!item.is_string()) {
        return std::nullopt;
    }
    const auto names = names_of(Enum{});
    const auto found = std::find(names.begin(), names.end(), item.get_ref<const std::string&>());
    return found == names.end() ? std::nullopt : std::optional(static_cast<Enum>(found - names.begin()));
}

bool is_ip_address(std::string_view text)
{
    boost::system::error_code fault;
    boost::asio::ip::make_address(std::string(text), fault);
    return !fault;
}

bool is_listen_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data() + colon + 1, end, port);
    return fault == std::errc() && stop == end && is_ip_address(host);
}

bool is_endpoint(std::string_view text)
{
    return is_listen_address(text) && !text.ends_with(":0");
}

bool is_name(std::string_view text)
{
    constexpr std::size_t max_name = 64;
    return !text.empty() && text.size() <= max_name && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

bool is_key(std::string_view text)
{
    constexpr std::size_t min_key = 16;
    return text.empty() || text.size() >= min_key;
}

}  // namespace

const text_rule ip_address_rule{is_ip_address, "an IP address"};
const text_rule listen_rule{is_listen_address, "ip:port"};
const text_rule endpoint_rule{is_endpoint, "ip:port with a port above 0"};
const text_rule optional_endpoint_rule{
    [](std::string_view text) { return text.empty() || is_endpoint(text); },
    "empty, or ip:port with a port above 0"};
// A dot would end the home data centre in an issued submission id.
const text_rule name_rule{is_name, "1 to 64 characters of [a-z0-9_-]"};
const text_rule key_rule{is_key, "at least 16 bytes"};

std::span<const std::string_view> names_of(placement_policy)
{
    return policy_names;
}

std::span<const std::string_view> names_of(severity)
{
    return severity_names;
}

std::string_view to_string(placement_policy value)
{
    return policy_names.at(static_cast<std::size_t>(value));
}

std::optional<bool> read_value(const json::value& item, const setting<bool>&)
{
    return item.is_boolean() ? std::optional(item.get<bool>()) : std::nullopt;
}

std::optional<std::uint64_t> read_value(const json::value& item, const setting<std::uint64_t>&)
{
    return item.is_number_unsigned() ? std::optional(item.get<std::uint64_t>()) : std::nullopt;
}

std::optional<byte_size> read_value(const json::value& item, const setting<byte_size>&)
{
    if (item.is_number_unsigned()) {
        return byte_size{item.get<std::uint64_t>()};
    }
    const auto bytes =
        item.is_string() ? read_with_unit(item.get_ref<const std::string&>(), size_units) : std::nullopt;
    return bytes ? std::optional(byte_size{*bytes}) : std::nullopt;
}

std::optional<milliseconds> read_value(const json::value& item, const setting<milliseconds>&)
{
    const auto count =
        item.is_string() ? read_with_unit(item.get_ref<const std::string&>(), duration_units) : std::nullopt;
    return count ? std::optional(milliseconds(*count)) : std::nullopt;
}

std::optional<std::string> read_value(const json::value& item, const setting<std::string>& declaration)
{
    if (!item.is_string()) {
        return std::nullopt;
    }
    const auto& text = item.get_ref<const std::string&>();
    const bool accepted = declaration.rule == nullptr || declaration.rule->accepts(text);
    return accepted ? std::optional(text) : std::nullopt;
}

std::optional<placement_policy> read_value(const json::value& item, const setting<placement_policy>&)
{
    return read_enum<placement_policy>(item);
}

std::optional<severity> read_value(const json::value& item, const setting<severity>&)
{
    return read_enum<severity>(item);
}

std::optional<peer_list> read_value(const json::value& item, const setting<peer_list>&)
{
    if (!item.is_array()) {
        return std::nullopt;
    }
    peer_list peers;
    for (const json::value& peer : item) {
        if (!peer.is_object() || peer.size() != 2 || !peer.contains("address") ||
            !peer.contains("data_centre") || !peer["address"].is_string() ||
            !peer["data_centre"].is_string()) {
            return std::nullopt;
        }
        peers.push_back({endpoint(peer["address"]), data_centre_id(peer["data_centre"])});
        if (!is_endpoint(peers.back().address.value()) || !is_name(peers.back().data_centre.value())) {
            return std::nullopt;
        }
    }
    return peers;
}

std::string to_text(const setting_value& value)
{
    struct writer {
        std::string operator()(bool item) const { return item ? "true" : "false"; }
        std::string operator()(std::uint64_t item) const { return std::to_string(item); }
        std::string operator()(byte_size item) const { return write_with_unit(item.bytes, size_units); }
        std::string operator()(milliseconds item) const
        {
            return write_with_unit(static_cast<std::uint64_t>(item.count()), duration_units);
        }
        std::string operator()(const std::string& item) const { return item; }
        std::string operator()(placement_policy item) const { return std::string(to_string(item)); }
        std::string operator()(severity item) const { return std::string(poplarshed::to_string(item)); }
        std::string operator()(const peer_list& item) const
        {
            std::string text;
            for (const peer_address& peer : item) {
                text += (text.empty() ? "" : ", ") + peer.address.value() + " in " + peer.data_centre.value();
            }
            return text;
        }
    };
    return std::visit(writer{}, value);
}

}  // namespace poplarshed::settings
