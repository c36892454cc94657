#include "stand_ins/platform_service.h"

#include <charconv>
#include <map>
#include <stdexcept>

namespace poplarshed::stand_ins {

namespace {

constexpr std::size_t max_value_bytes = 1U << 20U;
constexpr std::string_view key_prefix = "/v1/kv/";
constexpr std::string_view lease_prefix = "/v1/leases";

constexpr std::array<std::string_view, 3> outage_names{"off", "refuse", "hang"};

store_time now()
{
    return std::chrono::steady_clock::now();
}

json entry_json(const store_entry& entry)
{
    return {{"value", entry.value}, {"revision", entry.revision}};
}

http_response entry_response(const std::optional<store_entry>& entry)
{
    return entry ? json_response(entry_json(*entry)) : text_response("no such key", http::status::not_found);
}

call_kind kind_of(const http_request& request, std::string_view path)
{
    if (path.starts_with(lease_prefix)) {
        return call_kind::lease;
    }
    if (path == "/v1/watch") {
        return call_kind::watch;
    }
    if (path == "/v1/instances") {
        return call_kind::list;
    }
    return request.method() == http::verb::get ? call_kind::read : call_kind::write;
}

using fault_setter = void (*)(platform_faults&, const json&);

outage_mode parse_outage(const json& value)
{
    const auto name = value.get<std::string>();
    for (std::size_t index = 0; index < outage_names.size(); ++index) {
        if (outage_names.at(index) == name) {
            return static_cast<outage_mode>(index);
        }
    }
    throw std::invalid_argument("unknown outage: " + name);
}

std::chrono::milliseconds parse_ms(const json& value)
{
    return std::chrono::milliseconds(value.get<std::uint32_t>());
}

const std::map<std::string, fault_setter, std::less<>>& fault_setters()
{
    static const std::map<std::string, fault_setter, std::less<>> table{
        {"outage", [](platform_faults& faults, const json& value) { faults.outage = parse_outage(value); }},
        {"delay_ms", [](platform_faults& faults, const json& value) { faults.delay = parse_ms(value); }},
        {"stale_ms", [](platform_faults& faults, const json& value) { faults.stale = parse_ms(value); }},
        {"list_lag_ms",
         [](platform_faults& faults, const json& value) { faults.list_lag = parse_ms(value); }},
        {"lose_write_answers",
         [](platform_faults& faults, const json& value) { value.get_to(faults.lose_write_answers); }},
    };
    return table;
}

}  // namespace

void call_counters::count(call_kind kind, store_time at)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
    if (second != m_second) {
        m_second = second;
        for (per_second& calls : m_calls) {
            calls.this_second = 0;
        }
    }
    per_second& calls = m_calls.at(static_cast<std::size_t>(kind));
    ++calls.total;
    calls.peak = std::max(calls.peak, ++calls.this_second);
}

json call_counters::to_json() const
{
    constexpr std::array<std::string_view, kinds> names{"reads", "writes", "watches", "leases", "lists"};
    json result;
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < kinds; ++index) {
        const per_second& calls = m_calls.at(index);
        result[std::string(names.at(index))] = {{"total", calls.total}, {"peak_per_s", calls.peak}};
        total += calls.total;
    }
    result["calls"] = total;
    return result;
}

platform_service::platform_service(net::io_context& io, platform_faults faults)
    : m_io(io), m_faults(faults), m_changed(io)
{
    auto handler = [this](http_request request) { return handle(std::move(request)); };
    m_server = std::make_shared<http_server>(io, std::move(handler));
    net::co_spawn(io, expire_leases(), net::detached);
}

std::uint16_t platform_service::open(std::uint16_t port)
{
    return m_server->open(port);
}

net::awaitable<void> platform_service::expire_leases()
{
    constexpr std::chrono::milliseconds interval(20);
    for (;;) {
        co_await sleep_for(m_io, interval);
        if (m_store.expire(now())) {
            m_changed.notify_all();
        }
    }
}

net::awaitable<platform_service::reply> platform_service::handle(http_request request)
{
    const std::string target(request.target());
    m_counters.count(kind_of(request, path_of(target)), now());
    reply result;
    // A call that arrives during a hanging outage has no effect.
    if (m_faults.outage == outage_mode::off) {
        if (path_of(target) == "/v1/watch") {
            result = co_await watch(target);
        } else {
            result = call(request);
        }
        co_await sleep_for(m_io, m_faults.delay);
    }
    if (m_faults.outage != outage_mode::off) {
        result.reset();
    }
    while (m_faults.outage == outage_mode::hang) {
        co_await m_changed.wait();
    }
    co_return result;
}

net::awaitable<platform_service::reply> platform_service::watch(std::string target)
{
    const std::string key = query_value(target, "key").value_or("");
    const std::uint64_t after = query_number(target, "after").value_or(0);
    const std::chrono::milliseconds timeout(query_number(target, "timeout_ms").value_or(0));
    const store_time deadline = now() + timeout;
    while (m_store.last_change(key) <= after && now() < deadline && m_faults.outage == outage_mode::off) {
        co_await m_changed.wait_until(deadline);
    }
    if (m_store.last_change(key) <= after) {
        co_return http_response(http::status::no_content, 11);
    }
    co_return entry_response(m_store.get(key));
}

platform_service::reply platform_service::call(const http_request& request)
{
    const std::string target(request.target());
    const std::string_view path = path_of(target);
    const bool get = request.method() == http::verb::get;
    if (path.starts_with(key_prefix)) {
        return call_key(request, std::string(path.substr(key_prefix.size())));
    }
    if (get && path == "/v1/kv") {
        return list(target);
    }
    if (path.starts_with(lease_prefix)) {
        return call_lease(request, path);
    }
    if (get && path == "/v1/instances") {
        return json_response({{"instances", visible_instances()}});
    }
    return text_response("unknown call", http::status::not_found);
}

platform_service::reply platform_service::call_key(const http_request& request, const std::string& key)
{
    switch (request.method()) {
        case http::verb::get:
            return read(key);
        case http::verb::put:
            return write(request, key);
        case http::verb::delete_:
            return erase(request, key);
        default:
            return text_response("unknown call", http::status::method_not_allowed);
    }
}

http_response platform_service::read(const std::string& key) const
{
    return entry_response(m_store.get_as_of(key, now() - m_faults.stale));
}

http_response platform_service::list(std::string_view target) const
{
    json entries = json::array();
    for (const auto& [key, entry] : m_store.list(query_value(target, "prefix").value_or(""))) {
        json item = entry_json(entry);
        item["key"] = key;
        entries.push_back(std::move(item));
    }
    return json_response({{"entries", std::move(entries)}});
}

platform_service::reply platform_service::write(const http_request& request, const std::string& key)
{
    const std::string target(request.target());
    const auto expected = query_number(target, "cas");
    const std::uint64_t lease = query_number(target, "lease").value_or(0);
    if (!expected) {
        return text_response("cas is required", http::status::bad_request);
    }
    if (request.body().size() > max_value_bytes) {
        return text_response("the value is longer than 1 MB", http::status::payload_too_large);
    }
    if (lease != 0 && !m_store.is_live(lease)) {
        return text_response("the lease has lapsed", http::status::gone);
    }
    return write_answer(m_store.put(key, request.body(), *expected, lease, now()));
}

platform_service::reply platform_service::erase(const http_request& request, const std::string& key)
{
    const auto expected = query_number(std::string(request.target()), "cas");
    if (!expected) {
        return text_response("cas is required", http::status::bad_request);
    }
    return write_answer(m_store.erase(key, *expected));
}

platform_service::reply platform_service::write_answer(const write_result& result)
{
    if (!result.done) {
        json current = {{"value", ""}, {"revision", 0}};
        return json_response(result.current ? entry_json(*result.current) : current, http::status::conflict);
    }
    m_changed.notify_all();
    if (m_faults.lose_write_answers > 0) {
        --m_faults.lose_write_answers;
        return std::nullopt;
    }
    return json_response({{"revision", result.revision}});
}

platform_service::reply platform_service::call_lease(const http_request& request, std::string_view path)
{
    const std::string target(request.target());
    if (path == lease_prefix) {
        const std::chrono::milliseconds ttl(query_number(target, "ttl_ms").value_or(0));
        return json_response({{"lease", m_store.grant_lease(ttl, now())}});
    }
    const std::string_view rest = path.substr(lease_prefix.size() + 1);
    const std::string_view id = rest.substr(0, rest.find('/'));
    std::uint64_t lease = 0;
    std::from_chars(id.data(), id.data() + id.size(), lease);
    const bool ends = request.method() == http::verb::delete_;
    if (!(ends ? m_store.revoke(lease) : m_store.keep_alive(lease, now()))) {
        return text_response("the lease has lapsed", http::status::not_found);
    }
    m_changed.notify_all();
    return json_response(json::object());
}

json platform_service::visible_instances()
{
    while (!m_later_instances.empty() && m_later_instances.front().first <= now()) {
        m_instances = std::move(m_later_instances.front().second);
        m_later_instances.pop_front();
    }
    return m_instances;
}

void platform_service::set_instances(json instances, bool at_once)
{
    if (!instances.is_array()) {
        throw std::invalid_argument("instances must be an array");
    }
    const auto lag = at_once ? std::chrono::milliseconds(0) : m_faults.list_lag;
    m_later_instances.emplace_back(now() + lag, std::move(instances));
}

void platform_service::set_faults(const json& fields)
{
    platform_faults changed = m_faults;
    for (const auto& [name, value] : fields.items()) {
        const auto setter = fault_setters().find(name);
        if (setter == fault_setters().end()) {
            throw std::invalid_argument("unknown fault: " + name);
        }
        setter->second(changed, value);
    }
    m_faults = changed;
    m_changed.notify_all();
    if (m_faults.outage == outage_mode::refuse) {
        m_server->close();
        m_server->drop_connections();
    } else if (!m_server->is_open()) {
        m_server->open(0);
    }
}

json platform_service::status() const
{
    return {{"outage", outage_names.at(static_cast<std::size_t>(m_faults.outage))},
            {"delay_ms", m_faults.delay.count()},
            {"stale_ms", m_faults.stale.count()},
            {"list_lag_ms", m_faults.list_lag.count()},
            {"lose_write_answers", m_faults.lose_write_answers},
            {"counters", m_counters.to_json()}};
}

http_response platform_service::control(const http_request& request)
{
    const std::string target(request.target());
    const std::string_view path = path_of(target);
    if (request.method() == http::verb::get && path == "/status") {
        return json_response(status());
    }
    if (request.method() == http::verb::delete_ && path == "/counters") {
        m_counters.clear();
        return json_response(json::object());
    }
    if (request.method() == http::verb::post && path == "/faults") {
        set_faults(json::parse(request.body()));
        return json_response(json::object());
    }
    if (request.method() == http::verb::post && path == "/instances") {
        set_instances(json::parse(request.body()).at("instances"),
                      query_value(target, "at_once").has_value());
        return json_response(json::object());
    }
    return text_response("unknown call", http::status::not_found);
}

}  // namespace poplarshed::stand_ins
