#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <thread>
#include <unordered_map>
#include <variant>

#include "common/random_source.h"
#include "peer/link.h"

namespace poplarshed::peer {

/// Everything behind `network`. Runs on one thread except where noted.
class network::engine final : public link_events {
public:
    engine(network_options options, network_callbacks callbacks);
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    ~engine() override;

    /// Binds and listens. Called before run().
    std::optional<error> listen();
    /// Starts the thread.
    void run();

    /// The five below: any thread.
    bool push(const endpoint& to, std::optional<incarnation> run, wire::message value);
    bool set_learned(std::vector<endpoint> learned);
    bool reconnect(const endpoint& to);
    bool flush(milliseconds limit);
    network_counters counters() const;

    const wire::hello& greeting() const { return m_greeting; }

    void on_link_up(const std::shared_ptr<link>& from) override;
    void on_link_message(link& from, wire::message value) override;
    void on_link_closed(link& from) override;

private:
    struct outgoing {
        endpoint to;
        std::optional<poplarshed::incarnation> run;  ///< absent: any run of the instance
        wire::message value;
    };
    struct learned_peers {
        std::vector<endpoint> addresses;
    };
    struct silent_peer {
        endpoint address;
    };
    using command = std::variant<outgoing, learned_peers, silent_peer>;

    /// An address that this instance connects to.
    struct target {
        std::shared_ptr<tcp::socket> connecting;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::shared_ptr<link> current;
        unsigned failures = 0;
        bool is_self = false;
    };

    /// Links to the current run of an instance; messages use the first, so that their order is kept.
    struct linked_peer {
        wire::hello identity;
        std::vector<std::shared_ptr<link>> links;
    };

    bool push(command item);
    void wake();
    void execute_commands();
    void execute(outgoing& item);
    void execute(const learned_peers& item);
    void execute(const silent_peer& item);
    void close_links(const endpoint& address, down_evidence evidence);
    void drop(const endpoint& to, drop_reason reason, std::size_t messages);
    bool is_idle();

    void accept();
    void on_accepted(const boost::system::error_code& failed, tcp::socket socket);
    void add_target(const endpoint& address);
    void remove_target(const endpoint& address);
    void connect(const endpoint& address);
    void on_connected(const endpoint& address, const std::shared_ptr<tcp::socket>& socket,
                      const boost::system::error_code& failed);
    void on_connect_failed(const endpoint& address, down_evidence evidence);
    void retry_later(const endpoint& address);
    void report_down(const endpoint& address, down_evidence evidence);
    void end_former_run(const wire::hello& identity);
    void forget_target_link(const link& from);
    link_context context();

    network_options m_options;
    network_callbacks m_callbacks;
    wire::hello m_greeting;
    live_counters m_counters;
    random_source m_random;
    boost::asio::io_context m_io{1};
    tcp::acceptor m_acceptor{m_io};
    boost::asio::steady_timer m_accept_timer{m_io};
    std::map<endpoint, target> m_targets;
    std::set<endpoint> m_configured;
    std::unordered_map<endpoint, linked_peer> m_peers;
    std::set<std::shared_ptr<link>> m_links;
    std::size_t m_accepted = 0;
    std::size_t m_accepted_open = 0;  ///< accepted links whose handshake is not complete
    std::atomic<bool> m_wake_posted{false};
    std::vector<command> m_batch;
    bounded_ring<command> m_commands;
    std::jthread m_thread;
};

}  // namespace poplarshed::peer
