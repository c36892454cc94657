#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "stand_ins/http_server.h"

namespace poplarshed::stand_ins {

/// Faults of one direction of a route.
struct direction_faults {
    std::chrono::milliseconds delay{0};  ///< before each chunk is passed on
    bool cut = false;                    ///< bytes are lost without notice; such connections close on restore
    bool freeze = false;                 ///< bytes wait until restore
    std::uint64_t drop_chunks = 0;       ///< next chunks that are lost together with their connection
};

/// Faults of a route and the wake-up for its connections after a change.
struct route_faults {
    explicit route_faults(net::io_context& io) : changed(io) {}

    direction_faults to_target;
    direction_faults to_client;
    wake_list changed;
};

/// One relayed TCP connection. Runs on the thread of its io_context.
class relay_connection : public std::enable_shared_from_this<relay_connection> {
public:
    /// @param faults outlive the connection
    relay_connection(net::io_context& io, tcp::socket client, route_faults& faults);

    /// Connects to the target and passes bytes both ways until both sides have closed.
    /// @param first bytes that were read from the client before
    /// @returns false if the target refused the connection; the client is still open then
    static net::awaitable<bool> run(std::shared_ptr<relay_connection> self, tcp::endpoint target,
                                    std::string first = {});
    void close();
    /// Closes the connection if a cut has lost bytes of it.
    void close_if_damaged();

private:
    using self_pointer = std::shared_ptr<relay_connection>;

    static net::awaitable<void> pump(self_pointer self, tcp::socket& from, tcp::socket& to,
                                     direction_faults& faults);
    net::awaitable<bool> pass(std::size_t length, const std::array<char, 16'384>& chunk, tcp::socket& to,
                              direction_faults& faults);
    net::awaitable<void> wait_while_held(const direction_faults& faults);

    net::io_context& m_io;
    tcp::socket m_client;
    tcp::socket m_target;
    route_faults& m_faults;
    wake_list m_pump_done;
    int m_pumps = 0;
    bool m_damaged = false;
};

/// Accepts on a loopback port and hands each connection to a coroutine.
class tcp_listener {
public:
    using connection_handler = std::function<net::awaitable<void>(tcp::socket)>;

    tcp_listener(net::io_context& io, connection_handler handler);

    /// @param port 0 lets the kernel choose; after close() the former port is used again
    std::uint16_t open(std::uint16_t port);
    void close();
    bool is_open() const { return m_acceptor->is_open(); }
    std::uint16_t port() const { return m_port; }

private:
    static net::awaitable<void> accept(net::io_context& io, std::shared_ptr<tcp::acceptor> acceptor,
                                       connection_handler handler);

    net::io_context& m_io;
    connection_handler m_handler;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::uint16_t m_port = 0;
};

/// Reads "ip:port". Throws std::exception for other text.
tcp::endpoint parse_endpoint(const std::string& text);

}  // namespace poplarshed::stand_ins
