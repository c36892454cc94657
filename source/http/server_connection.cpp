#include "http/server_connection.h"

#include <poll.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>

namespace poplarshed::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;

// Body rates are measured over this time, which outlasts a few retransmissions.
constexpr seconds rate_window{10};
// A client that takes nothing of its answers for so long has stopped reading.
constexpr seconds write_stall_limit{30};
// Input that is read and dropped after the last request; more of it stays with the kernel.
constexpr std::size_t max_discarded_bytes = std::size_t{1} << 20U;
constexpr milliseconds refusal_retry{1000};

struct refusal_text {
    int status;
    std::string_view reason;
};

refusal_text text_of(request_refusal value)
{
    switch (value) {
        case request_refusal::memory:
            return {503, "overloaded"};
        case request_refusal::body_too_large:
            return {413, "body_too_large"};
        case request_refusal::head_too_large:
            return {431, "head_too_large"};
        case request_refusal::malformed:
            break;
    }
    return {400, "malformed_request"};
}

request_refusal refusal_of(const error_code& failed)
{
    if (failed == beast::http::error::body_limit) {
        return request_refusal::body_too_large;
    }
    return failed == beast::http::error::header_limit ? request_refusal::head_too_large
                                                      : request_refusal::malformed;
}

}  // namespace

connection::connection(connection_id id, tcp::socket socket, connection_host& host)
    : m_id(id), m_socket(std::move(socket)), m_host(host), m_last_write(host.now())
{}

void connection::arm_read()
{
    if (m_reading || m_closed || m_input_waits) {
        return;
    }
    m_reading = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& failed) {
        self->m_reading = false;
        if (!failed && !self->m_closed) {
            self->on_readable();
        }
    });
}

// Load pattern: clients that send faster than the server may take. What they send stays with the kernel,
// which stops them.
bool connection::may_read() const
{
    if (m_last_request) {
        return m_discarded < max_discarded_bytes;
    }
    const connection_limits& limits = m_host.options().limits;
    const bool room = m_slots.size() < limits.pipelined_requests && unsent() < limits.unsent_bytes;
    const bool short_of_memory = m_host.share().under_pressure() && unsent() > 0;
    return room && !short_of_memory && m_host.share().may_receive(m_id);
}

void connection::wait_for_room()
{
    m_input_waits = true;
    if (client_has_left()) {
        m_host.close(m_id, std::nullopt);
        return;
    }
    update_held();
}

bool connection::client_has_left()
{
    pollfd state{m_socket.native_handle(), POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 &&
           (!m_slots.empty() || (state.revents & (POLLHUP | POLLERR)) != 0);
}

void connection::on_readable()
{
    if (!may_read()) {
        wait_for_room();
        return;
    }
    error_code failed;
    const auto buffer = m_host.scratch();
    const std::size_t count = m_socket.read_some(boost::asio::buffer(buffer), failed);
    if (failed == boost::asio::error::would_block || failed == boost::asio::error::interrupted) {
        arm_read();
        return;
    }
    if (failed == boost::asio::error::eof) {
        on_end_of_input();
        return;
    }
    if (failed) {
        m_host.close(m_id, std::nullopt);
        return;
    }
    if (m_last_request) {
        m_discarded += count;
        arm_read();
        return;
    }
    m_host.share().on_moved(m_id, count, m_host.now());
    m_in_window += count;
    consume({static_cast<const char*>(buffer.data()), count});
    after_input();
}

void connection::on_end_of_input()
{
    if (m_slots.empty() && unsent() > 0 && !m_linger_until) {
        m_last_request = true;
        m_finishing = true;
        m_input_waits = true;
        return;
    }
    m_host.close(m_id, std::nullopt);
}

bool connection::can_parse() const
{
    const connection_limits& limits = m_host.options().limits;
    return !m_closed && !m_last_request && m_slots.size() < limits.pipelined_requests &&
           unsent() < limits.unsent_bytes;
}

void connection::consume(std::string_view bytes)
{
    const bool buffered = !m_in.empty();
    if (buffered) {
        m_in.append(bytes);
    }
    const std::string_view input = buffered ? std::string_view(m_in) : bytes;
    std::size_t used = 0;
    while (used < input.size() && can_parse()) {
        const std::size_t taken = parse(input.substr(used));
        if (taken == 0) {
            break;
        }
        used += taken;
    }
    if (m_last_request || used == input.size()) {
        m_in.clear();
        if (m_in.capacity() > kept_buffer_bytes) {
            m_in.shrink_to_fit();
        }
    } else if (buffered) {
        m_in.erase(0, used);
    } else {
        m_in.assign(input.substr(used));
    }
}

// @returns how many bytes were used; 0 if more are needed
std::size_t connection::parse(std::string_view input)
{
    if (!m_parser) {
        // Some clients end a body with an extra line break.
        const std::size_t blank = std::min(input.find_first_not_of("\r\n"), input.size());
        if (blank > 0) {
            return blank;
        }
        m_parser.emplace(m_host.options().limits.request, m_host.options().kept_fields);
        m_begun = m_host.now();
        m_host.share().restart(m_id, m_begun);
    }
    error_code failed;
    const bool in_head = !m_parser->is_header_done();
    const std::size_t used = m_parser->put(boost::asio::buffer(input.data(), input.size()), failed);
    const bool need_more = failed == beast::http::error::need_more;
    if (failed && !need_more) {
        refuse(refusal_of(failed));
        return used;
    }
    // Lines that have not ended, of the head or between chunks; a body itself leaves nothing unused.
    if (need_more && input.size() - used > m_host.options().limits.request.head_bytes) {
        refuse(request_refusal::head_too_large);
        return used;
    }
    if (in_head && m_parser->is_header_done()) {
        on_head();
    }
    if (m_parser && m_parser->is_done()) {
        on_request();
    }
    return used;
}

void connection::on_head()
{
    m_window = m_host.now();
    m_in_window = 0;
    const auto length = m_parser->content_length();
    const bool large = length && *length > m_host.share().small_request_bytes();
    if (!m_host.share().accepts_new() || (large && !m_host.share().try_make_large(m_id))) {
        refuse(request_refusal::memory);
        return;
    }
    if (m_parser->expects_continue() && !m_parser->is_done() && m_slots.empty()) {
        m_out += "HTTP/1.1 100 Continue\r\n\r\n";
        m_last_write = m_host.now();
    }
}

void connection::on_request()
{
    budget& share = m_host.share();
    const bool keep_alive = m_parser->keep_alive();
    const bool http_1_0 = m_parser->is_http_1_0();
    received_request request = std::move(m_parser->request());
    m_parser.reset();
    share.set_small(m_id);
    share.restart(m_id, m_host.now());
    m_last_request = !keep_alive;
    const exchange_id exchange = m_host.open_exchange(m_id, m_socket.native_handle());
    m_slots.push_back({exchange, std::nullopt, keep_alive, request.method == "HEAD", http_1_0});
    // The bytes of the body go with it.
    std::shared_ptr<void> held = m_host.hold(request.body.capacity());
    auto answer = m_host.options().handler->on_request(exchange, std::move(request), std::move(held));
    if (answer) {
        m_host.end_exchange(exchange);
        fill(m_slots.back(), *answer);
    }
}

void connection::refuse(request_refusal reason)
{
    m_host.count(reason);
    m_parser.reset();
    m_host.share().set_small(m_id);
    m_last_request = true;
    const refusal_text text = text_of(reason);
    server_answer answer;
    answer.status = text.status;
    answer.close = true;
    answer.body = R"({"reason":")" + std::string(text.reason) + R"("})";
    answer.retry_after = reason == request_refusal::memory ? refusal_retry : milliseconds{};
    m_slots.push_back({});
    fill(m_slots.back(), answer);
}

// A request that turns out large is refused while memory is short, also where its length was not announced.
bool connection::check_size()
{
    budget& share = m_host.share();
    const std::size_t held = m_in.capacity() + (m_parser ? m_parser->held_bytes() : 0);
    return m_last_request || held <= share.small_request_bytes() || share.try_make_large(m_id);
}

void connection::after_input()
{
    if (!check_size()) {
        m_in = {};
        refuse(request_refusal::memory);
    }
    advance();
    if (m_closed) {
        return;
    }
    update_held();
    arm_read();
}

void connection::advance()
{
    flush();
    while (!m_closed && !m_in.empty() && can_parse()) {
        const std::size_t before = m_in.size();
        consume({});
        flush();
        if (m_in.size() == before) {
            return;
        }
    }
}

void connection::update_held()
{
    const std::size_t request = m_in.capacity() + (m_parser ? m_parser->held_bytes() : 0);
    m_host.share().set_held(m_id, request + m_out.capacity() + m_ready_bytes);
    const bool sending = m_out.size() > m_written;
    const bool answer_due = !m_slots.empty() && !sending;
    m_host.share().set_owed(m_id, answer_due || (m_input_waits && !sending && !m_last_request), m_host.now());
}

std::optional<close_reason> connection::overdue(time_point now)
{
    const connection_limits& limits = m_host.options().limits;
    if (m_out.size() > m_written && now - m_last_write >= write_stall_limit) {
        return close_reason::unread_answers;
    }
    if (!m_parser || m_input_waits) {
        m_window = now;
        m_in_window = 0;
        return std::nullopt;
    }
    if (!m_parser->is_header_done()) {
        return now - m_begun >= limits.head_timeout ? std::optional(close_reason::head_timeout)
                                                    : std::nullopt;
    }
    if (now - m_window < rate_window) {
        return std::nullopt;
    }
    const bool slow = m_in_window < limits.body_progress_bytes_per_s * rate_window.count();
    m_window = now;
    m_in_window = 0;
    return slow ? std::optional(close_reason::slow_body) : std::nullopt;
}

void connection::on_tick(time_point now)
{
    if (m_closed) {
        return;
    }
    if (m_linger_until && now >= *m_linger_until) {
        m_host.close(m_id, std::nullopt);
        return;
    }
    if (const auto reason = overdue(now)) {
        m_host.close(m_id, reason);
        return;
    }
    if (!m_in.empty() && can_parse()) {
        after_input();
    }
    if (m_closed || !m_input_waits) {
        return;
    }
    if (may_read()) {
        m_input_waits = false;
        update_held();
        arm_read();
    } else if (client_has_left()) {
        m_host.close(m_id, std::nullopt);
    }
}

void connection::close_socket()
{
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
}

}  // namespace poplarshed::http
