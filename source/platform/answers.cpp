#include "platform/answers.h"

#include "json/json.h"

namespace poplarshed::platform {

namespace {

constexpr long http_ok = 200;
constexpr long http_not_found = 404;
constexpr long http_conflict = 409;
constexpr long http_gone = 410;
constexpr long http_client_error = 400;
constexpr long http_server_error = 500;

// Answers hold values of up to 1 MB as JSON text, a prefix several of them.
constexpr json::limits answer_limits{.max_bytes = 64U << 20U, .max_depth = 4};

std::string detail_of(const http_reply& reply)
{
    return reply.error.empty() ? "status " + std::to_string(reply.status) : reply.error;
}

std::optional<json::value> parse_object(const http_reply& reply)
{
    auto parsed = json::parse(reply.body, "platform answer", answer_limits);
    if (!parsed || !parsed.value().is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.value());
}

std::optional<std::uint64_t> number_of(const json::value& fields, const char* name)
{
    const auto found = fields.find(name);
    if (found == fields.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<entry> entry_of(const json::value& fields, const std::string& key)
{
    const auto found = number_of(fields, "revision");
    const auto value = fields.find("value");
    if (!found || value == fields.end() || !value->is_string()) {
        return std::nullopt;
    }
    return entry{key, value->get<std::string>(), revision(*found)};
}

}  // namespace

read_outcome to_read_outcome(const std::string& key, const http_reply& reply)
{
    if (reply.status == http_not_found) {
        return {read_status::absent, {}, {}};
    }
    const auto fields = reply.status == http_ok ? parse_object(reply) : std::nullopt;
    auto found = fields ? entry_of(*fields, key) : std::nullopt;
    if (!found) {
        return {read_status::unavailable, {}, detail_of(reply)};
    }
    return {read_status::found, {std::move(*found)}, {}};
}

read_outcome to_prefix_outcome(const http_reply& reply)
{
    read_outcome unusable{read_status::unavailable, {}, detail_of(reply)};
    const auto fields = reply.status == http_ok ? parse_object(reply) : std::nullopt;
    if (!fields || !fields->contains("entries") || !(*fields)["entries"].is_array()) {
        return unusable;
    }
    read_outcome outcome{read_status::found, {}, {}};
    for (const json::value& item : (*fields)["entries"]) {
        const bool has_key = item.is_object() && item.contains("key") && item["key"].is_string();
        auto found = has_key ? entry_of(item, item["key"].get<std::string>()) : std::nullopt;
        if (!found) {
            return unusable;
        }
        outcome.entries.push_back(std::move(*found));
    }
    return outcome;
}

write_outcome to_write_outcome(const std::string& key, const http_reply& reply)
{
    write_outcome outcome;
    outcome.detail = detail_of(reply);
    const auto fields = parse_object(reply);
    const auto written = fields ? number_of(*fields, "revision") : std::nullopt;
    if (reply.status == http_ok && written) {
        outcome.status = write_status::written;
        outcome.revision = revision(*written);
    } else if (reply.status == http_conflict && written) {
        outcome.status = write_status::conflict;
        outcome.current = *written == 0 ? std::nullopt : entry_of(*fields, key);
    } else if (reply.status == http_not_found || reply.status == http_gone) {
        outcome.status = write_status::lease_lapsed;
    } else if (reply.status >= http_client_error && reply.status < http_server_error &&
               reply.status != http_conflict) {
        outcome.status = write_status::rejected;
    } else {
        // A server error or an unreadable answer does not tell whether the write took effect.
        outcome.status = reply.bytes_sent ? write_status::outcome_unknown : write_status::unavailable;
    }
    return outcome;
}

lease_outcome to_lease_outcome(std::optional<lease_id> known, const http_reply& reply)
{
    if (reply.status == http_not_found || reply.status == http_gone) {
        return {lease_status::lapsed, known.value_or(lease_id{}), detail_of(reply)};
    }
    if (reply.status == http_ok && known) {
        return {lease_status::alive, *known, {}};
    }
    const auto fields = reply.status == http_ok ? parse_object(reply) : std::nullopt;
    const auto granted = fields ? number_of(*fields, "lease") : std::nullopt;
    if (!granted) {
        return {lease_status::unavailable, known.value_or(lease_id{}), detail_of(reply)};
    }
    return {lease_status::alive, lease_id(*granted), {}};
}

instances_outcome to_instances_outcome(const http_reply& reply)
{
    if (reply.status != http_ok) {
        return {false, {}, detail_of(reply)};
    }
    auto list = parse_instances(reply.body);
    if (!list) {
        return {false, {}, list.error().message};
    }
    return {true, std::move(list.value()), {}};
}

}  // namespace poplarshed::platform
