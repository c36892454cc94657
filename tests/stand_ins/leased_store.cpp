#include "stand_ins/leased_store.h"

#include <openssl/evp.h>

namespace poplarshed::stand_ins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longer than any caller waits, so that only its time-out ends the call.
constexpr std::chrono::seconds silence{60};

std::string base64(const std::string& text)
{
    std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

std::string decoded(std::string text)
{
    for (auto at = text.find("%2F"); at != std::string::npos; at = text.find("%2F")) {
        text.replace(at, 3, "/");
    }
    return text;
}

}  // namespace

leased_store::leased_store(net::io_context& io, std::uint64_t seed)
    : m_io(io),
      m_changed(io),
      m_server(std::make_shared<http_server>(
          io, [this](http_request request) { return handle(std::move(request)); })),
      m_random(seed)
{
    m_server->open(0);
}

void leased_store::put(const std::string& key, const json& value)
{
    write(key, base64(value.dump()), 0);
    m_changed.notify_all();
}

void leased_store::remove(const std::string& key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({++m_revision, key, true, {}});
        m_changed.notify_all();
    }
}

void leased_store::set_faults(const store_faults& faults)
{
    m_faults = faults;
    m_changed.notify_all();
    if (faults.resets) {
        m_server->drop_connections();
    }
}

void leased_store::write(const std::string& key, const std::string& value, std::uint64_t lease_id)
{
    item& one = m_items[key];
    one.value = value;
    one.revision = ++m_revision;
    one.created = one.created == 0 ? m_revision : one.created;
    one.lease = lease_id;
    m_history.push_back({m_revision, key, false, one});
}

void leased_store::advance()
{
    const auto now = steady_clock::now();
    for (const auto& [id, one] : m_leases) {
        if (now < one.until && !m_faults.revokes) {
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, held] : m_items) {
            if (held.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            remove(key);
        }
    }
    std::erase_if(m_leases, [&](const auto& one) { return now >= one.second.until || m_faults.revokes; });
}

bool leased_store::loses_answer(std::string_view path)
{
    return path == "/kv-txn" && m_random.unit() < m_faults.lost_share;
}

net::awaitable<std::optional<http_response>> leased_store::handle(http_request request)
{
    const std::string target(request.target());
    const std::string path(path_of(target));
    if (m_faults.delay.count() > 0) {
        co_await sleep_for(m_io, m_faults.delay);
    }
    if (m_faults.silent) {
        co_await sleep_for(m_io, silence);
    }
    if (m_faults.resets || m_faults.silent) {
        co_return std::nullopt;
    }
    if (m_faults.refuses) {
        co_return json_response(json::object(), http::status::service_unavailable);
    }
    if (path == "/kv-watch") {
        co_return co_await watch(target);
    }
    http_response response = execute(request, path);
    if (loses_answer(path)) {
        co_return std::nullopt;
    }
    co_return response;
}

http_response leased_store::execute(const http_request& request, std::string_view path)
{
    const std::string target(request.target());
    if (path == "/kv-range") {
        return range(target);
    }
    if (path == "/kv-txn") {
        return transaction(json::parse(request.body()));
    }
    if (path == "/kv-lease") {
        return grant(json::parse(request.body()));
    }
    if (path.starts_with("/kv-keep/") || path.starts_with("/kv-lease-end/")) {
        return keep(path);
    }
    return json_response(json::object(), http::status::not_found);
}

http_response leased_store::grant(const json& body)
{
    const milliseconds ttl(body.at("ttl_ms").get<int>());
    m_leases[++m_last_lease] = {steady_clock::now() + ttl, ttl};
    return json_response({{"lease", m_last_lease}, {"ttl_ms", ttl.count()}});
}

http_response leased_store::keep(std::string_view path)
{
    const auto found = m_leases.find(std::stoull(std::string(path.substr(path.rfind('/') + 1))));
    if (found == m_leases.end()) {
        return json_response(json::object(), http::status::not_found);
    }
    const bool renews = path.starts_with("/kv-keep/");
    found->second.until = steady_clock::now() + (renews ? found->second.ttl : milliseconds(0));
    return json_response({{"ttl_ms", found->second.ttl.count()}});
}

http_response leased_store::range(std::string_view target) const
{
    const std::string prefix = decoded(query_value(target, "prefix").value_or(""));
    json items = json::array();
    for (const auto& [key, one] : m_items) {
        if (key.starts_with(prefix)) {
            items.push_back({{"key", key},
                             {"value", one.value},
                             {"revision", one.revision},
                             {"created", one.created},
                             {"lease", one.lease}});
        }
    }
    return json_response({{"items", items}, {"has_more", false}, {"store_revision", m_revision}});
}

net::awaitable<http_response> leased_store::watch(std::string target)
{
    const std::string prefix = decoded(query_value(target, "prefix").value_or(""));
    const std::uint64_t after = query_number(target, "after").value_or(0);
    const auto deadline = steady_clock::now() + milliseconds(query_number(target, "wait_ms").value_or(0));
    for (;;) {
        const std::uint64_t oldest = m_history.empty() ? m_revision + 1 : m_history.front().revision;
        if (after + 1 < oldest) {
            co_return json_response(json::object(), http::status::gone);
        }
        json events = json::array();
        for (const event& one : m_history) {
            if (one.revision <= after || !one.key.starts_with(prefix)) {
                continue;
            }
            events.push_back(
                one.removed
                    ? json{{"key", one.key}, {"revision", one.revision}, {"removed", true}}
                    : json{{"key", one.key}, {"value", one.content.value}, {"revision", one.revision}});
        }
        if (!events.empty() || steady_clock::now() >= deadline) {
            co_return json_response({{"events", events}, {"store_revision", m_revision}});
        }
        co_await m_changed.wait_until(deadline);
    }
}

http_response leased_store::transaction(const json& body)
{
    for (const json& row : body.at("precondition")) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        if ((found == m_items.end() ? 0 : found->second.revision) !=
            row.at("revision").get<std::uint64_t>()) {
            return json_response({{"items", json::array()}}, http::status::precondition_failed);
        }
    }
    for (const json& row : body.at("set_keys")) {
        const std::uint64_t lease_id = row.value("lease", std::uint64_t{0});
        if (lease_id != 0 && !m_leases.contains(lease_id)) {
            return json_response(json::object(), http::status::not_found);
        }
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), lease_id);
    }
    m_changed.notify_all();
    return json_response({{"revision", m_revision}});
}

}  // namespace poplarshed::stand_ins
