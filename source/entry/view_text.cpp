#include "entry/view_text.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace poplarshed::entry {

namespace {

using nlohmann::json;

constexpr std::string_view prefix = "membership/";
constexpr char port_separator = '_';

std::optional<std::uint64_t> parse_decimal(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && stop == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

json member_json(const membership::view_member& member)
{
    // Decimal text: a JSON number above 2^53 is not kept exactly by every reader.
    return {{"address", member.instance.address.value()},
            {"incarnation", std::to_string(member.instance.incarnation.value())},
            {"data_centre", member.data_centre.value()}};
}

membership::view_member member_from(const json& item)
{
    const auto number = parse_decimal(item.at("incarnation").get_ref<const std::string&>());
    if (!number) {
        throw std::invalid_argument("incarnation is not a number");
    }
    return {{endpoint(item.at("address").get<std::string>()), incarnation(*number)},
            data_centre_id(item.at("data_centre").get<std::string>())};
}

std::optional<membership::view_member> parse_live(const platform::entry& item)
{
    const std::string_view rest = std::string_view(item.key).substr(prefix.size());
    const auto slash = rest.find('/');
    const auto number = parse_decimal(item.value);
    const auto port = rest.rfind(port_separator);
    if (slash == std::string_view::npos || port == std::string_view::npos || port < slash || !number) {
        return std::nullopt;
    }
    std::string address(rest.substr(slash + 1));
    address.at(port - slash - 1) = ':';
    return membership::view_member{{endpoint(std::move(address)), incarnation(*number)},
                                   data_centre_id(std::string(rest.substr(0, slash)))};
}

}  // namespace

std::string view_key(const data_centre_id& home)
{
    return std::string(prefix) + home.value();
}

std::string live_key(const data_centre_id& home, const endpoint& address)
{
    // The port follows an underscore, since a colon is no character of a key.
    std::string name = address.value();
    name.at(name.rfind(':')) = port_separator;
    return view_key(home) + "/" + name;
}

std::string to_text(const membership::view& view)
{
    json members = json::array();
    for (const membership::view_member& member : view.members) {
        members.push_back(member_json(member));
    }
    return json{{"data_centre", view.data_centre.value()}, {"epoch", view.epoch.value()},
                {"members", std::move(members)},           {"amnesia_epoch", view.amnesia_epoch.value()},
                {"nonce", std::to_string(view.nonce)},     {"settled", view.settled}}
        .dump();
}

result<membership::view> parse_view(std::string_view text)
{
    try {
        const json document = json::parse(text);
        membership::view view;
        view.data_centre = data_centre_id(document.at("data_centre").get<std::string>());
        view.epoch = view_epoch(document.at("epoch").get<std::uint64_t>());
        for (const json& item : document.at("members")) {
            view.members.push_back(member_from(item));
        }
        view.amnesia_epoch = view_epoch(document.at("amnesia_epoch").get<std::uint64_t>());
        view.nonce = parse_decimal(document.at("nonce").get_ref<const std::string&>()).value_or(0);
        view.settled = document.at("settled").get<bool>();
        return view;
    } catch (const std::exception& exception) {
        return error{std::string("not a membership view: ") + exception.what()};
    }
}

membership::platform_snapshot parse_snapshot(const std::vector<platform::entry>& entries)
{
    membership::platform_snapshot snapshot;
    for (const platform::entry& item : entries) {
        if (!item.key.starts_with(prefix)) {
            continue;
        }
        if (auto live = parse_live(item)) {
            snapshot.live.push_back(std::move(*live));
        } else if (auto view = parse_view(item.value)) {
            snapshot.views.insert_or_assign(
                view.value().data_centre,
                membership::platform_view{view.value(), membership::key_revision(item.revision.value())});
        }
    }
    return snapshot;
}

}  // namespace poplarshed::entry
