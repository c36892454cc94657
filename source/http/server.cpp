#include "http/server.h"

#include <poll.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "http/server_connection.h"

namespace poplarshed::http {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int accept_backlog = 1024;
// Connections taken before others have their turn.
constexpr int accepts_per_turn = 64;
// Time limits are checked, and a listener that had no descriptor or connection left tries again, this often.
constexpr milliseconds tick_interval{100};
// Bytes that one connection reads before others have their turn; also what a pipelining client can leave
// unparsed.
constexpr std::size_t read_bytes = std::size_t{16} * 1024;
// Bounds the log under a crowd.
constexpr seconds report_interval{10};

bool is_open(int descriptor)
{
    pollfd state{descriptor, POLLRDHUP, 0};
    return poll(&state, 1, 0) <= 0 || (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) == 0;
}

/// When a log line for each reason is due.
template <std::size_t Reasons>
class report_schedule {
public:
    bool due(std::size_t reason, time_point now)
    {
        std::optional<time_point>& last = m_last.at(reason);
        if (last && now - *last < report_interval) {
            return false;
        }
        last = now;
        return true;
    }

private:
    std::array<std::optional<time_point>, Reasons> m_last;
};

/// Requests that wait for respond(). Every function is thread-safe.
class exchange_table {
public:
    struct entry {
        std::size_t listener = 0;
        connection_id connection;
        int descriptor = -1;
    };

    void add(exchange_id id, const entry& item)
    {
        const std::scoped_lock lock(m_mutex);
        m_entries.emplace(id, item);
    }

    std::optional<entry> take(exchange_id id)
    {
        const std::scoped_lock lock(m_mutex);
        const auto node = m_entries.extract(id);
        return node.empty() ? std::nullopt : std::optional(node.mapped());
    }

    std::size_t size() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_entries.size();
    }

    void clear()
    {
        const std::scoped_lock lock(m_mutex);
        m_entries.clear();
    }

    bool is_connected(exchange_id id) const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<exchange_id, entry> m_entries;
};

bool exchange_table::is_connected(exchange_id id) const
{
    // Requests are taken from the table before their descriptor is closed, so the lock keeps it open.
    const std::scoped_lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found != m_entries.end() && is_open(found->second.descriptor);
}

result<tcp::endpoint> resolve(const std::string& address, boost::asio::io_context& io)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return error{"the address is not of the form ip:port"};
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    error_code failed;
    const auto found =
        tcp::resolver(io).resolve(host, address.substr(colon + 1), tcp::resolver::passive, failed);
    if (failed || found.empty()) {
        return error{failed.message()};
    }
    return found.begin()->endpoint();
}

}  // namespace

std::string_view to_string(close_reason value)
{
    static constexpr std::array<std::string_view, close_reason_count> names{
        "memory", "connections", "head_timeout", "slow_body", "unread_answers"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(request_refusal value)
{
    static constexpr std::array<std::string_view, request_refusal_count> names{"memory", "body_too_large",
                                                                               "head_too_large", "malformed"};
    return names.at(static_cast<std::size_t>(value));
}

class server::engine {
public:
    explicit engine(server_observer observer) : m_observer(std::move(observer)), m_timer(m_io) {}
    ~engine() { shutdown(); }

    std::optional<error> listen(listener_options options);
    void start();
    void respond(exchange_id id, server_answer answer);
    void shutdown();
    const exchange_table& exchanges() const { return m_exchanges; }
    std::uint16_t port(std::size_t index) const;

private:
    class listener;

    struct reply {
        exchange_table::entry to;
        exchange_id exchange;
        server_answer answer;
    };

    void execute_replies();
    void tick();

    server_observer m_observer;
    report_schedule<close_reason_count> m_close_reports;
    report_schedule<request_refusal_count> m_refusal_reports;
    exchange_table m_exchanges;
    std::uint64_t m_last_connection = 0;
    std::uint64_t m_last_exchange = 0;
    std::array<char, read_bytes> m_scratch{};
    std::mutex m_reply_mutex;
    std::vector<reply> m_replies;
    std::vector<reply> m_batch;
    boost::asio::io_context m_io{1};
    boost::asio::steady_timer m_timer;
    std::vector<std::unique_ptr<listener>> m_listeners;
    std::jthread m_thread;
};

/// A listener with its share of the budget and its connections.
class server::engine::listener : public connection_host {
public:
    listener(engine& owner, std::size_t index, listener_options options)
        : m_engine(owner),
          m_index(index),
          m_options(std::move(options)),
          m_budget(m_options.share),
          m_handed_over(std::make_shared<std::atomic<std::size_t>>(0)),
          m_acceptor(owner.m_io)
    {}

    std::optional<error> open();
    void accept();
    void tick(time_point at);
    void shutdown();
    void answer(reply& item);
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    time_point now() const override { return steady_clock::now(); }
    budget& share() override
    {
        m_budget.set_handed_over(m_handed_over->load(std::memory_order_relaxed));
        return m_budget;
    }
    const listener_options& options() const override { return m_options; }
    exchange_id open_exchange(connection_id connection, int descriptor) override;
    void end_exchange(exchange_id id) override { m_engine.m_exchanges.take(id); }
    void drop_exchange(exchange_id id) override;
    std::shared_ptr<void> hold(std::size_t bytes) override;
    void count(request_refusal reason) override;
    void relieve() override;
    boost::asio::mutable_buffer scratch() override { return boost::asio::buffer(m_engine.m_scratch); }
    void close(connection_id id, std::optional<close_reason> reason) override;

private:
    void accept_ready();
    bool make_room();

    engine& m_engine;
    std::size_t m_index;
    listener_options m_options;
    budget m_budget;
    std::shared_ptr<std::atomic<std::size_t>> m_handed_over;  ///< outlives the server in its holders
    tcp::acceptor m_acceptor;
    bool m_accept_paused = false;
    std::unordered_map<connection_id, std::shared_ptr<connection>> m_connections;
};

std::optional<error> server::engine::listener::open()
{
    const auto address = resolve(m_options.address, m_engine.m_io);
    if (!address) {
        return address.error();
    }
    error_code failed;
    m_acceptor.open(address.value().protocol(), failed);
    if (!failed) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        m_acceptor.bind(address.value(), failed);
    }
    if (!failed) {
        m_acceptor.listen(accept_backlog, failed);
    }
    if (!failed) {
        m_acceptor.non_blocking(true, failed);
    }
    return failed ? std::optional(error{failed.message()}) : std::nullopt;
}

void server::engine::listener::accept()
{
    m_acceptor.async_wait(tcp::acceptor::wait_read, [this](const error_code& failed) {
        if (!failed) {
            accept_ready();
        }
    });
}

void server::engine::listener::accept_ready()
{
    for (int i = 0; i < accepts_per_turn; ++i) {
        // Without room new clients wait with the kernel; the next tick looks again.
        m_accept_paused = !make_room();
        if (m_accept_paused) {
            return;
        }
        error_code failed;
        tcp::socket socket(m_engine.m_io);
        m_acceptor.accept(socket, failed);
        if (failed == boost::asio::error::would_block || failed == boost::asio::error::try_again) {
            break;
        }
        if (failed == boost::asio::error::connection_aborted) {
            continue;
        }
        if (failed) {
            // Out of descriptors or of the kernel's memory: the listener stays readable, so that waiting for
            // it at once would spin.
            m_accept_paused = true;
            return;
        }
        socket.non_blocking(true, failed);
        socket.set_option(tcp::no_delay(true), failed);
        const connection_id id(++m_engine.m_last_connection);
        m_budget.open(id, now());
        const auto added = std::make_shared<connection>(id, std::move(socket), *this);
        m_connections.emplace(id, added);
        added->start();
    }
    accept();
}

bool server::engine::listener::make_room()
{
    if (m_budget.has_free_connection()) {
        return true;
    }
    const auto victim = m_budget.connection_victim(now());
    if (victim) {
        close(*victim, close_reason::connections);
    }
    return victim.has_value();
}

void server::engine::listener::tick(time_point at)
{
    relieve();
    std::vector<std::shared_ptr<connection>> all;
    all.reserve(m_connections.size());
    for (const auto& [id, item] : m_connections) {
        all.push_back(item);
    }
    for (const auto& item : all) {
        item->on_tick(at);
    }
    if (m_accept_paused) {
        m_accept_paused = false;
        accept();
    }
}

void server::engine::listener::answer(reply& item)
{
    const auto found = m_connections.find(item.to.connection);
    if (found != m_connections.end()) {
        const auto kept = found->second;
        kept->answer(item.exchange, item.answer);
    }
}

exchange_id server::engine::listener::open_exchange(connection_id connection, int descriptor)
{
    const exchange_id id(++m_engine.m_last_exchange);
    if (m_options.answers_later) {
        m_engine.m_exchanges.add(id, {m_index, connection, descriptor});
    }
    return id;
}

void server::engine::listener::drop_exchange(exchange_id id)
{
    if (m_engine.m_exchanges.take(id)) {
        m_options.handler->on_left(id);
    }
}

std::shared_ptr<void> server::engine::listener::hold(std::size_t bytes)
{
    m_handed_over->fetch_add(bytes, std::memory_order_relaxed);
    return {nullptr,
            [total = m_handed_over, bytes](void*) { total->fetch_sub(bytes, std::memory_order_relaxed); }};
}

void server::engine::listener::count(request_refusal reason)
{
    if (m_engine.m_observer.on_refused) {
        const auto index = static_cast<std::size_t>(reason);
        m_engine.m_observer.on_refused(reason, m_engine.m_refusal_reports.due(index, now()));
    }
}

void server::engine::listener::relieve()
{
    while (share().under_pressure()) {
        const auto victim = m_budget.memory_victim(now());
        if (!victim) {
            return;
        }
        close(*victim, close_reason::memory);
    }
}

void server::engine::listener::close(connection_id id, std::optional<close_reason> reason)
{
    const auto node = m_connections.extract(id);
    if (node.empty()) {
        return;
    }
    node.mapped()->drop_waiting();
    node.mapped()->close_socket();
    m_budget.close(id);
    if (reason && m_engine.m_observer.on_closed) {
        const auto index = static_cast<std::size_t>(*reason);
        m_engine.m_observer.on_closed(*reason, m_engine.m_close_reports.due(index, now()));
    }
}

void server::engine::listener::shutdown()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& [id, item] : m_connections) {
        item->close_socket();
    }
    m_connections.clear();
}

std::optional<error> server::engine::listen(listener_options options)
{
    const std::string address = options.address;
    auto added = std::make_unique<listener>(*this, m_listeners.size(), std::move(options));
    if (const auto failed = added->open()) {
        return error{"cannot listen on " + address + ": " + failed->message};
    }
    m_listeners.push_back(std::move(added));
    return std::nullopt;
}

void server::engine::start()
{
    for (const auto& item : m_listeners) {
        item->accept();
    }
    tick();
    m_thread = std::jthread([this] { m_io.run(); });
}

void server::engine::tick()
{
    const time_point now = steady_clock::now();
    for (const auto& item : m_listeners) {
        item->tick(now);
    }
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([this](const error_code& failed) {
        if (!failed) {
            tick();
        }
    });
}

void server::engine::respond(exchange_id id, server_answer answer)
{
    const auto to = m_exchanges.take(id);
    if (!to) {
        return;
    }
    const std::scoped_lock lock(m_reply_mutex);
    m_replies.push_back({*to, id, std::move(answer)});
    if (m_replies.size() == 1) {
        boost::asio::post(m_io, [this] { execute_replies(); });
    }
}

void server::engine::execute_replies()
{
    {
        const std::scoped_lock lock(m_reply_mutex);
        m_batch.swap(m_replies);
    }
    for (reply& item : m_batch) {
        m_listeners.at(item.to.listener)->answer(item);
    }
    m_batch.clear();
}

void server::engine::shutdown()
{
    m_exchanges.clear();
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_exchanges.clear();
    for (const auto& item : m_listeners) {
        item->shutdown();
    }
}

std::uint16_t server::engine::port(std::size_t index) const
{
    return m_listeners.at(index)->port();
}

server::server(server_observer observer) : m_engine(std::make_unique<engine>(std::move(observer))) {}

server::~server() = default;

std::optional<error> server::listen(listener_options options)
{
    return m_engine->listen(std::move(options));
}

void server::start()
{
    m_engine->start();
}

void server::respond(exchange_id id, server_answer answer)
{
    m_engine->respond(id, std::move(answer));
}

std::size_t server::waiting() const
{
    return m_engine->exchanges().size();
}

bool server::is_connected(exchange_id id) const
{
    return m_engine->exchanges().is_connected(id);
}

void server::shutdown()
{
    m_engine->shutdown();
}

std::uint16_t server::port(std::size_t index) const
{
    return m_engine->port(index);
}

}  // namespace poplarshed::http
