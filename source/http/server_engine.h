#pragma once

// Internal to the server.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "http/running_clock.h"
#include "http/server_connection.h"

namespace poplarshed::http {

// Bytes that one connection reads before others have their turn; also what a pipelining client can leave
// unparsed.
inline constexpr std::size_t read_bytes = std::size_t{16} * 1024;
// Bounds the log under a crowd.
inline constexpr seconds report_interval{10};

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

class server::engine {
public:
    explicit engine(server_observer observer);
    ~engine();

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
    /// Time for limits and rates. Called on the server's thread.
    time_point now() { return m_clock.at(steady_clock::now()); }

    server_observer m_observer;
    running_clock m_clock;
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

    time_point now() const override { return m_engine.now(); }
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
    boost::asio::mutable_buffer scratch() override { return boost::asio::buffer(m_engine.m_scratch); }
    void close(connection_id id, std::optional<close_reason> reason) override;

private:
    void accept_ready();
    /// Closes stalled connections while memory is short.
    void relieve();
    bool make_room();

    engine& m_engine;
    std::size_t m_index;
    listener_options m_options;
    budget m_budget;
    std::shared_ptr<std::atomic<std::size_t>> m_handed_over;  ///< outlives the server in its holders
    boost::asio::ip::tcp::acceptor m_acceptor;
    bool m_accept_paused = false;
    std::unordered_map<connection_id, std::shared_ptr<connection>> m_connections;
};

}  // namespace poplarshed::http
