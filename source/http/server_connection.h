#pragma once

// Internal to the server.

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/server.h"

namespace poplarshed::http {

// Buffers of a connection above this are given back when they are empty.
inline constexpr std::size_t kept_buffer_bytes = std::size_t{4} * 1024;

/// What a connection needs of its server.
class connection_host {
public:
    virtual ~connection_host() = default;
    virtual time_point now() const = 0;
    virtual budget& share() = 0;
    virtual const listener_options& options() const = 0;
    /// Registers a request before the handler sees it.
    virtual exchange_id open_exchange(connection_id connection, int descriptor) = 0;
    /// The request was answered by the handler at once.
    virtual void end_exchange(exchange_id id) = 0;
    /// The request will not be answered; tells the handler.
    virtual void drop_exchange(exchange_id id) = 0;
    virtual std::shared_ptr<void> hold(std::size_t bytes) = 0;
    virtual void count(request_refusal reason) = 0;
    /// Space for one read; valid until the next one.
    virtual boost::asio::mutable_buffer scratch() = 0;
    /// Forgets the connection, tells the handler of its waiting requests and closes it.
    /// @param reason why the server closes it; nothing if the client has gone or all is answered
    virtual void close(connection_id id, std::optional<close_reason> reason) = 0;
};

/// One client. Reads without a buffer of its own until bytes arrive; writes answers in the order of the
/// requests. Belongs to the server's thread.
class connection : public std::enable_shared_from_this<connection> {
public:
    using tcp = boost::asio::ip::tcp;

    connection(connection_id id, tcp::socket socket, connection_host& host);

    void start() { arm_read(); }
    void answer(exchange_id id, const server_answer& value);
    /// Resumes reading where the limits allow it again, and closes the connection when a time limit has
    /// passed.
    void on_tick(time_point now);
    /// Closes the socket. Called by the host only.
    void close_socket();
    /// Drops the requests that wait for an answer.
    void drop_waiting();

private:
    /// A request in the order of arrival, until its answer is written.
    struct slot {
        exchange_id exchange;
        std::optional<std::string> answer;  ///< rendered
        bool keep_alive = true;
        bool is_head = false;
        bool http_1_0 = false;
    };

    void arm_read();
    void on_readable();
    bool may_read() const;
    void wait_for_room();
    bool client_has_left();
    void on_end_of_input();
    void consume(std::string_view bytes);
    bool can_parse() const;
    std::size_t parse(std::string_view input);
    bool check_size();
    void on_head();
    void on_request();
    void refuse(request_refusal reason);
    void after_input();
    /// Reads requests that have arrived as far as the limits allow, and writes what is answered.
    void advance();
    void update_held();
    std::size_t unsent() const;

    void fill(slot& target, const server_answer& value);
    void flush();
    void write();
    void on_all_written();
    void linger();
    std::optional<close_reason> overdue(time_point now);

    connection_id m_id;
    tcp::socket m_socket;
    connection_host& m_host;
    std::string m_in;  ///< read, but not parsed
    std::optional<request_parser> m_parser;
    std::deque<slot> m_slots;
    std::size_t m_ready_bytes = 0;  ///< of rendered answers that wait for earlier ones
    std::string m_out;
    std::size_t m_written = 0;  ///< of m_out
    time_point m_begun;         ///< of the current request
    time_point m_window;        ///< start of the current measurement of the body's rate
    std::size_t m_in_window = 0;
    time_point m_last_write;
    std::optional<time_point> m_linger_until;
    std::size_t m_discarded = 0;
    bool m_reading = false;
    bool m_writing = false;
    bool m_input_waits = false;  ///< the client has sent what may not be read yet
    bool m_last_request = false;
    bool m_finishing = false;  ///< the last answer is in m_out
    bool m_closed = false;
};

}  // namespace poplarshed::http
