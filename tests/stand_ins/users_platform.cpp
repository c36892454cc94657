#include "stand_ins/users_platform.h"

#include <openssl/evp.h>

#include <algorithm>

namespace poplarshed::stand_ins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds step{5};
constexpr milliseconds longest_lease{1000};
constexpr std::int64_t worker_cpu = 32'000;
constexpr std::uint64_t born = 1'780'000'000'000;

std::string base64(const std::string& text)
{
    std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

std::int64_t clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::string decoded(std::string text)
{
    for (auto at = text.find("%2F"); at != std::string::npos; at = text.find("%2F")) {
        text.replace(at, 3, "/");
    }
    return text;
}

}  // namespace

users_platform::users_platform(std::size_t workers) : m_work(net::make_work_guard(m_io)), m_workers(workers)
{
    m_store = std::make_shared<http_server>(
        m_io, [this](http_request request) { return handle_store(std::move(request)); });
    m_store->open(0);
    for (std::size_t i = 0; i < workers; ++i) {
        m_workers[i].ended = std::make_unique<wake_list>(m_io);
        m_workers[i].server = std::make_shared<http_server>(
            m_io, [this, i](http_request request) { return handle_worker(i, std::move(request)); });
        m_workers[i].server->open(0);
        announce(i);
    }
    net::co_spawn(m_io, advance(), net::detached);
    m_thread = std::jthread([this] { m_io.run(); });
}

users_platform::~users_platform()
{
    m_io.stop();
    m_thread.join();
}

std::string users_platform::store_address() const
{
    return "127.0.0.1:" + std::to_string(m_store->port());
}

void users_platform::announce(std::size_t index)
{
    const json entry = {{"service", "desk"},
                        {"address", "127.0.0.1:" + std::to_string(m_workers[index].server->port())},
                        {"zone", "ollur"},
                        {"state", "ready"},
                        {"capacity", {{"cpu", worker_cpu}, {"mem_mb", 65536}, {"gpu", 0}}},
                        {"labels", {"a", "r1"}},
                        {"born", born},
                        {"seq", 1}};
    write("servers/w" + std::to_string(index), base64(entry.dump()), 0);
}

void users_platform::put(const std::string& key, const json& value)
{
    const std::scoped_lock lock(m_mutex);
    write(key, base64(value.dump()), 0);
    net::post(m_io, [this] { m_changed.notify_all(); });
}

void users_platform::set_store_down(bool down)
{
    const std::scoped_lock lock(m_mutex);
    m_down = down;
    net::post(m_io, [this] {
        m_changed.notify_all();
        m_store->drop_connections();
    });
}

std::size_t users_platform::running() const
{
    const std::scoped_lock lock(m_mutex);
    std::size_t total = 0;
    for (const worker& on : m_workers) {
        total += on.runs.size();
    }
    return total;
}

std::size_t users_platform::starts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_starts;
}

std::vector<std::string> users_platform::overlaps() const
{
    const std::scoped_lock lock(m_mutex);
    return m_overlaps;
}

void users_platform::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    item& one = m_items[key];
    one.value = value;
    one.revision = ++m_revision;
    one.created = one.created == 0 ? m_revision : one.created;
    one.lease = lease;
    m_history.push_back({m_revision, key, false, one});
}

void users_platform::remove(const std::string& key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({++m_revision, key, true, {}});
    }
}

net::awaitable<void> users_platform::advance()
{
    for (;;) {
        co_await sleep_for(m_io, step);
        const std::scoped_lock lock(m_mutex);
        const auto now = steady_clock::now();
        for (auto& [lease, until] : m_leases) {
            if (now < until) {
                continue;
            }
            std::vector<std::string> keys;
            for (const auto& [key, one] : m_items) {
                if (one.lease == lease) {
                    keys.push_back(key);
                }
            }
            for (const std::string& key : keys) {
                remove(key);
                m_changed.notify_all();
            }
        }
        std::erase_if(m_leases, [now](const auto& lease) { return now >= lease.second; });
        for (worker& on : m_workers) {
            std::vector<std::pair<std::string, std::string>> ended;
            for (const auto& [task, one] : on.runs) {
                if (now >= one.ends_at) {
                    ended.emplace_back(task, "done");
                } else if (now >= on.lease_until) {
                    ended.emplace_back(task, "lapsed");
                }
            }
            for (const auto& [task, how] : ended) {
                end(on, task, how);
            }
        }
    }
}

void users_platform::end(worker& on, const std::string& task, const std::string& how)
{
    const run one = on.runs.at(task);
    on.runs.erase(task);
    on.closed[task] = std::max(on.closed[task], one.number);
    on.ends.push_back(json::array({++on.last_end, task, one.number, how, ""}));
    on.ended->notify_all();
}

net::awaitable<std::optional<http_response>> users_platform::handle_store(http_request request)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_down) {
            co_return std::nullopt;
        }
    }
    const std::string target(request.target());
    const std::string path(path_of(target));
    if (path == "/kv-watch") {
        co_return co_await watch(target);
    }
    const std::scoped_lock lock(m_mutex);
    if (path == "/kv-range") {
        co_return range(target);
    }
    if (path == "/kv-txn") {
        co_return transaction(json::parse(request.body()));
    }
    if (path == "/kv-lease") {
        const milliseconds ttl(json::parse(request.body()).at("ttl_ms").get<int>());
        m_leases[++m_last_lease] = steady_clock::now() + ttl;
        m_ttls[m_last_lease] = ttl;
        co_return json_response({{"lease", m_last_lease}, {"ttl_ms", ttl.count()}});
    }
    if (path.starts_with("/kv-keep/") || path.starts_with("/kv-lease-end/")) {
        const std::uint64_t lease = std::stoull(path.substr(path.rfind('/') + 1));
        if (!m_leases.contains(lease)) {
            co_return json_response({}, http::status::not_found);
        }
        m_leases[lease] =
            steady_clock::now() + (path.starts_with("/kv-keep/") ? m_ttls[lease] : milliseconds(0));
        co_return json_response({{"ttl_ms", m_ttls[lease].count()}});
    }
    co_return json_response({}, http::status::not_found);
}

http_response users_platform::range(std::string_view target) const
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

net::awaitable<http_response> users_platform::watch(std::string target)
{
    const std::string prefix = decoded(query_value(target, "prefix").value_or(""));
    const std::uint64_t after = query_number(target, "after").value_or(0);
    const auto deadline = steady_clock::now() + milliseconds(query_number(target, "wait_ms").value_or(0));
    for (;;) {
        {
            const std::scoped_lock lock(m_mutex);
            json events = json::array();
            for (const event& one : m_history) {
                if (one.revision <= after || !one.key.starts_with(prefix)) {
                    continue;
                }
                if (one.removed) {
                    events.push_back({{"key", one.key}, {"revision", one.revision}, {"removed", true}});
                } else {
                    events.push_back(
                        {{"key", one.key}, {"value", one.content.value}, {"revision", one.revision}});
                }
            }
            if (!events.empty() || steady_clock::now() >= deadline || m_down) {
                co_return json_response({{"events", events}, {"store_revision", m_revision}});
            }
        }
        co_await m_changed.wait_until(deadline);
    }
}

http_response users_platform::transaction(const json& body)
{
    for (const json& row : body.at("precondition")) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        if ((found == m_items.end() ? 0 : found->second.revision) !=
            row.at("revision").get<std::uint64_t>()) {
            return json_response({{"items", json::array()}}, http::status::precondition_failed);
        }
    }
    for (const json& row : body.at("set_keys")) {
        const std::uint64_t lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
            return json_response({}, http::status::not_found);
        }
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), lease);
    }
    m_changed.notify_all();
    return json_response({{"revision", m_revision}});
}

json users_platform::start(worker& on, const json& body, http::status& status)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    const milliseconds lease(body.at("expires_ms").get<std::int64_t>() - clock_ms());
    const auto conflict = [&status](const char* reason) {
        status = http::status::conflict;
        return json{{"clock_ms", clock_ms()}, {"reason", reason}};
    };
    if (lease.count() <= 0) {
        return conflict("late");
    }
    if (on.closed[task] >= number) {
        return conflict("old");
    }
    if (on.runs.size() >= 2) {
        return conflict("room");
    }
    for (const worker& other : m_workers) {
        if (&other != &on && other.runs.contains(task)) {
            m_overlaps.push_back(task);
        }
    }
    const auto now = steady_clock::now();
    on.lease_until = std::max(on.lease_until, now + std::min(lease, longest_lease));
    on.runs[task] = {number, now + milliseconds(std::stol(body.at("spec").get<std::string>()))};
    ++m_starts;
    return {{"clock_ms", clock_ms()}};
}

net::awaitable<std::optional<http_response>> users_platform::handle_worker(std::size_t index,
                                                                           http_request request)
{
    const json body = json::parse(request.body());
    const std::string target(request.target());
    const std::string path(path_of(target));
    worker& on = m_workers[index];
    auto deadline = steady_clock::now();
    {
        const std::scoped_lock lock(m_mutex);
        const auto token = body.value("fencing_token", std::uint64_t{0});
        if (token < on.token) {
            co_return json_response({{"clock_ms", clock_ms()}, {"reason", "fence"}}, http::status::conflict);
        }
        on.token = token;
        if (path == "/run-start") {
            http::status status = http::status::ok;
            const json answer = start(on, body, status);
            co_return json_response(answer, status);
        }
        if (path == "/run-stop") {
            const auto task = body.at("task").get<std::string>();
            const auto number = body.at("run").get<std::uint64_t>();
            on.closed[task] = std::max(on.closed[task], number);
            if (on.runs.contains(task) && on.runs.at(task).number <= number) {
                end(on, task, "stopped");
            }
            co_return json_response({{"clock_ms", clock_ms()}});
        }
        if (body.contains("expires_ms")) {
            const milliseconds lease(body.at("expires_ms").get<std::int64_t>() - clock_ms());
            on.lease_until = std::max(on.lease_until, steady_clock::now() + std::min(lease, longest_lease));
        }
        const auto acknowledged = body.value("acked", std::uint64_t{0});
        std::erase_if(on.ends, [&](const json& row) { return row[0].get<std::uint64_t>() <= acknowledged; });
        deadline += on.ends.empty() ? milliseconds(body.value("wait_ms", 0)) : milliseconds(0);
    }
    if (deadline > steady_clock::now()) {
        co_await on.ended->wait_until(deadline);
    }
    const std::scoped_lock lock(m_mutex);
    json running = json::array();
    for (const auto& [task, one] : on.runs) {
        running.push_back(json::array({task, one.number, "", 0, 0}));
    }
    co_return json_response(
        {{"clock_ms", clock_ms()}, {"born", born}, {"running", running}, {"finished", on.ends}});
}

}  // namespace poplarshed::stand_ins
