#include <algorithm>
#include <boost/beast/http/status.hpp>

#include "http/server_connection.h"

namespace poplarshed::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;

// Time for the client to read the last answer before unread input resets the connection.
constexpr milliseconds linger_time{1000};
std::string render(const server_answer& value, bool keep_alive, bool http_1_0, bool is_head)
{
    const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(value.status));
    std::string text = "HTTP/1.1 " + std::to_string(value.status) + " ";
    text.append(reason.data(), reason.size());
    text.append("\r\nContent-Type: ").append(value.content_type);
    text += "\r\nContent-Length: " + std::to_string(value.body.size());
    if (value.retry_after.count() > 0) {
        // Whole seconds, rounded up: the header knows no fractions.
        text += "\r\nRetry-After: " + std::to_string((value.retry_after.count() + 999) / 1000);
    }
    if (!keep_alive) {
        text += "\r\nConnection: close";
    } else if (http_1_0) {
        text += "\r\nConnection: keep-alive";
    }
    text += "\r\n\r\n";
    if (!is_head) {
        text += value.body;
    }
    return text;
}

}  // namespace

std::size_t connection::unsent() const
{
    return m_out.size() - m_written + m_ready_bytes;
}

void connection::answer(exchange_id id, const server_answer& value)
{
    const auto found = std::find_if(m_slots.begin(), m_slots.end(),
                                    [id](const slot& item) { return item.exchange == id && !item.answer; });
    if (found == m_slots.end()) {
        return;
    }
    fill(*found, value);
    advance();
    if (!m_closed) {
        update_held();
        on_tick(m_host.now());
    }
}

void connection::fill(slot& target, const server_answer& value)
{
    target.keep_alive = target.keep_alive && !value.close;
    target.answer = render(value, target.keep_alive, target.http_1_0, target.is_head);
    m_ready_bytes += target.answer->size();
}

void connection::flush()
{
    while (!m_finishing && !m_slots.empty() && m_slots.front().answer) {
        slot& first = m_slots.front();
        m_ready_bytes -= first.answer->size();
        if (m_written > 0) {
            m_out.erase(0, m_written);
            m_written = 0;
        }
        if (m_out.empty()) {
            m_out = std::move(*first.answer);
            m_last_write = m_host.now();
        } else {
            m_out += *first.answer;
        }
        m_finishing = !first.keep_alive;
        m_slots.pop_front();
    }
    if (m_finishing) {
        m_last_request = true;
        drop_waiting();
    }
    write();
}

void connection::write()
{
    while (!m_writing && m_written < m_out.size()) {
        error_code failed;
        const auto left = boost::asio::buffer(m_out.data() + m_written, m_out.size() - m_written);
        const std::size_t count = m_socket.write_some(left, failed);
        if (failed == boost::asio::error::would_block) {
            m_writing = true;
            m_socket.async_wait(tcp::socket::wait_write,
                                [self = shared_from_this()](const error_code& stopped) {
                                    self->m_writing = false;
                                    if (!stopped && !self->m_closed) {
                                        self->write();
                                        self->on_tick(self->m_host.now());
                                    }
                                });
            return;
        }
        if (failed) {
            m_host.close(m_id, std::nullopt);
            return;
        }
        m_written += count;
        m_last_write = m_host.now();
        m_host.share().on_moved(m_id, count, m_last_write);
    }
    if (!m_writing) {
        on_all_written();
    }
}

void connection::on_all_written()
{
    m_written = 0;
    m_out.clear();
    if (m_out.capacity() > kept_buffer_bytes) {
        m_out.shrink_to_fit();
    }
    if (m_finishing && !m_linger_until) {
        linger();
        return;
    }
    update_held();
}

// Closing a socket with unread input resets the connection, and the client may lose the last answer.
void connection::linger()
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_linger_until = m_host.now() + linger_time;
    m_in = {};
    m_input_waits = false;
    update_held();
    arm_read();
}

void connection::drop_waiting()
{
    for (const slot& item : m_slots) {
        if (!item.answer) {
            m_host.drop_exchange(item.exchange);
        }
    }
    m_slots.clear();
    m_ready_bytes = 0;
}

}  // namespace poplarshed::http
