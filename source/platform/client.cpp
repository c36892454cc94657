#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "platform/answers.h"
#include "platform/http_session.h"
#include "platform/platform.h"

namespace poplarshed::platform {

namespace {

constexpr long http_no_content = 204;
constexpr long http_bad_request = 400;
constexpr std::size_t max_key_length = 512;

/// A queued call and what takes its reply.
struct queued_call {
    http_call call;
    std::uint64_t call_counts::*counter = nullptr;
    std::function<void(const http_reply&)> done;
};

// Keys stand in URLs unescaped. A prefix may be empty.
bool is_valid_key(std::string_view key)
{
    const auto allowed = [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return letter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' || c == '/';
    };
    return key.size() <= max_key_length && std::all_of(key.begin(), key.end(), allowed);
}

std::optional<std::string> key_path(const std::string& key, const std::string& query = {})
{
    if (key.empty() || !is_valid_key(key)) {
        return std::nullopt;
    }
    return "/v1/kv/" + key + query;
}

std::string lease_path(lease_id lease)
{
    return "/v1/leases/" + std::to_string(lease.value());
}

}  // namespace

/// Both threads and what they share.
class client::state {
public:
    explicit state(client_options options)
        : m_options(std::move(options)),
          m_base("http://" + m_options.address.value()),
          m_calls(m_options.queue_capacity),
          m_random(std::random_device{}())
    {
        m_call_thread = std::jthread([this] { run_calls(); });
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    ~state()
    {
        m_calls.close();
        m_call_session.stop();
        m_call_thread.join();
        stop_watch();
    }

    /// @param path without a value if the key is invalid; such a call is answered without being sent
    bool enqueue(http_method method, const std::optional<std::string>& path, std::string body,
                 std::uint64_t call_counts::*counter, std::function<void(const http_reply&)> done)
    {
        http_call call{method,
                       path ? m_base + *path : std::string(),
                       std::move(body),
                       m_options.connect_timeout,
                       m_options.call_timeout,
                       m_options.max_answer_bytes};
        return m_calls.try_push({std::move(call), counter, std::move(done)});
    }

    void watch(std::string key, revision after, watch_handler on_change)
    {
        stop_watch();
        m_watch_session.resume();
        m_watch_stopped = false;
        m_watch_thread = std::jthread([this, key = std::move(key), after, on_change = std::move(on_change)] {
            run_watch(key, after, on_change);
        });
    }

    void stop_watch()
    {
        {
            const std::scoped_lock lock(m_watch_mutex);
            m_watch_stopped = true;
        }
        m_watch_pause.notify_all();
        m_watch_session.stop();
        if (m_watch_thread.joinable()) {
            m_watch_thread.join();
        }
    }

    call_counts counts() const
    {
        const std::scoped_lock lock(m_counts_mutex);
        return m_counts;
    }

private:
    void count(std::uint64_t call_counts::*counter)
    {
        const std::scoped_lock lock(m_counts_mutex);
        ++(m_counts.*counter);
    }

    http_reply perform(http_session& session, const http_call& call, std::uint64_t call_counts::*counter)
    {
        if (call.url.empty()) {
            return {http_bad_request, false, {}, "invalid key"};
        }
        count(counter);
        http_reply reply = session.perform(call);
        if (reply.status == 0) {
            count(&call_counts::failures);
        }
        return reply;
    }

    void run_calls()
    {
        std::vector<queued_call> batch;
        while (!m_call_session.stopped()) {
            m_calls.drain_until(time_point::max(), batch);
            for (const queued_call& item : batch) {
                if (m_call_session.stopped()) {
                    return;
                }
                item.done(perform(m_call_session, item.call, item.counter));
            }
        }
    }

    void run_watch(const std::string& key, revision after, const watch_handler& on_change)
    {
        // The platform answers at the end of the time that it was asked to wait, plus its own delay.
        const milliseconds timeout = m_options.watch_timeout + m_options.call_timeout;
        const std::string path = m_base + "/v1/watch?key=" + key +
                                 "&timeout_ms=" + std::to_string(m_options.watch_timeout.count()) + "&after=";
        while (!m_watch_session.stopped()) {
            const http_call call{http_method::get,
                                 path + std::to_string(after.value()),
                                 {},
                                 m_options.connect_timeout,
                                 timeout,
                                 m_options.max_answer_bytes};
            const http_reply reply = perform(m_watch_session, call, &call_counts::watches);
            read_outcome outcome = to_read_outcome(key, reply);
            // A stale answer must not take the watch back.
            const bool news =
                outcome.status == read_status::found && outcome.entries.front().revision > after;
            if (news && !m_watch_session.stopped()) {
                after = outcome.entries.front().revision;
                on_change(std::move(outcome.entries.front()));
            } else if (reply.status != http_no_content) {
                pause_watch();
            }
        }
    }

    void pause_watch()
    {
        const double part = m_random.unit();
        const auto pause = std::chrono::duration_cast<milliseconds>(m_options.watch_retry * (0.5 + part / 2));
        std::unique_lock lock(m_watch_mutex);
        m_watch_pause.wait_for(lock, pause, [this] { return m_watch_stopped; });
    }

    client_options m_options;
    std::string m_base;
    bounded_ring<queued_call> m_calls;
    random_source m_random;  // watch thread only
    http_session m_call_session;
    http_session m_watch_session;
    mutable std::mutex m_counts_mutex;
    call_counts m_counts;
    std::mutex m_watch_mutex;
    std::condition_variable m_watch_pause;
    bool m_watch_stopped = true;
    std::jthread m_call_thread;
    std::jthread m_watch_thread;
};

client::client(client_options options) : m_state(std::make_unique<state>(std::move(options))) {}

client::~client() = default;

bool client::read(std::string key, read_handler done)
{
    const auto path = key_path(key);
    return m_state->enqueue(http_method::get, path, {}, &call_counts::reads,
                            [key = std::move(key), done = std::move(done)](const http_reply& reply) {
                                done(to_read_outcome(key, reply));
                            });
}

bool client::read_prefix(const std::string& prefix, read_handler done)
{
    const auto path = is_valid_key(prefix) ? std::optional("/v1/kv?prefix=" + prefix) : std::nullopt;
    return m_state->enqueue(
        http_method::get, path, {}, &call_counts::reads,
        [done = std::move(done)](const http_reply& reply) { done(to_prefix_outcome(reply)); });
}

bool client::write(std::string key, std::string value, revision expected, std::optional<lease_id> lease,
                   write_handler done)
{
    const std::string with_lease = lease ? "&lease=" + std::to_string(lease->value()) : "";
    const auto path = key_path(key, "?cas=" + std::to_string(expected.value()) + with_lease);
    return m_state->enqueue(http_method::put, path, std::move(value), &call_counts::writes,
                            [key = std::move(key), done = std::move(done)](const http_reply& reply) {
                                done(to_write_outcome(key, reply));
                            });
}

bool client::erase(std::string key, revision expected, write_handler done)
{
    const auto path = key_path(key, "?cas=" + std::to_string(expected.value()));
    return m_state->enqueue(http_method::erase, path, {}, &call_counts::writes,
                            [key = std::move(key), done = std::move(done)](const http_reply& reply) {
                                done(to_write_outcome(key, reply));
                            });
}

bool client::grant_lease(milliseconds ttl, lease_handler done)
{
    return m_state->enqueue(
        http_method::post, "/v1/leases?ttl_ms=" + std::to_string(ttl.count()), {}, &call_counts::leases,
        [done = std::move(done)](const http_reply& reply) { done(to_lease_outcome(std::nullopt, reply)); });
}

bool client::keep_alive(lease_id lease, lease_handler done)
{
    return m_state->enqueue(
        http_method::post, lease_path(lease) + "/keepalive", {}, &call_counts::leases,
        [lease, done = std::move(done)](const http_reply& reply) { done(to_lease_outcome(lease, reply)); });
}

bool client::revoke(lease_id lease, lease_handler done)
{
    return m_state->enqueue(
        http_method::erase, lease_path(lease), {}, &call_counts::leases,
        [lease, done = std::move(done)](const http_reply& reply) { done(to_lease_outcome(lease, reply)); });
}

bool client::read_instances(instances_handler done)
{
    return m_state->enqueue(
        http_method::get, "/v1/instances", {}, &call_counts::lists,
        [done = std::move(done)](const http_reply& reply) { done(to_instances_outcome(reply)); });
}

void client::watch(std::string key, revision after, watch_handler on_change)
{
    m_state->watch(std::move(key), after, std::move(on_change));
}

void client::stop_watch()
{
    m_state->stop_watch();
}

call_counts client::counts() const
{
    return m_state->counts();
}

}  // namespace poplarshed::platform
