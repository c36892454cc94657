#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random_source.h"
#include "stand_ins/http_server.h"

namespace poplarshed::stand_ins {

/// How the store answers.
struct store_faults {
    bool silent = false;    ///< calls get no answer
    bool refuses = false;   ///< calls get 503 and do nothing
    bool resets = false;    ///< connections are closed unanswered
    bool revokes = false;   ///< leases run out at once
    double lost_share = 0;  ///< part of the writes that are done and not answered
    std::chrono::milliseconds delay{0};
};

/// The users' platform's store: items with revisions, leases and watches. Runs on the thread of its
/// io_context.
class leased_store {
public:
    explicit leased_store(net::io_context& io, std::uint64_t seed = 1);

    std::uint16_t port() const { return m_server->port(); }
    /// Writes an item as the operator or a worker does.
    void put(const std::string& key, const json& value);
    void remove(const std::string& key);
    void set_faults(const store_faults& faults);
    /// Watches that begin before now get 410.
    void forget_history() { m_history.clear(); }
    /// Ends leases that have run out. To be called every few milliseconds.
    void advance();

private:
    struct item {
        std::string value;  ///< base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct event {
        std::uint64_t revision = 0;
        std::string key;
        bool removed = false;
        item content;
    };

    struct lease {
        net::steady_timer::time_point until;
        std::chrono::milliseconds ttl{};
    };

    net::awaitable<std::optional<http_response>> handle(http_request request);
    net::awaitable<http_response> watch(std::string target);
    http_response execute(const http_request& request, std::string_view path);
    http_response range(std::string_view target) const;
    http_response grant(const json& body);
    http_response keep(std::string_view path);
    http_response transaction(const json& body);
    void write(const std::string& key, const std::string& value, std::uint64_t lease_id);
    bool loses_answer(std::string_view path);

    net::io_context& m_io;
    wake_list m_changed;
    std::shared_ptr<http_server> m_server;
    store_faults m_faults;
    random_source m_random;
    std::uint64_t m_revision = 1;
    std::map<std::string, item> m_items;
    std::vector<event> m_history;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_last_lease = 0;
};

}  // namespace poplarshed::stand_ins
