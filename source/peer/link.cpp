#include "peer/link.h"

#include <netinet/tcp.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace poplarshed::peer {

namespace {

constexpr std::size_t read_bytes = std::size_t{16} * 1024;
// A hello with the longest address and data centre is far below this.
constexpr std::size_t handshake_frame_bytes = 2048;
// A larger buffer is released after a burst.
constexpr std::size_t max_kept_bytes = std::size_t{256} * 1024;
constexpr int keepalive_probes = 3;

template <int Level, int Name>
using int_option = boost::asio::detail::socket_option::integer<Level, Name>;

bool is_handshake(const wire::message& value)
{
    return std::holds_alternative<wire::hello>(value) || std::holds_alternative<wire::hello_proof>(value);
}

}  // namespace

link::link(link_context context, tcp::socket socket, side local)
    : m_context(context),
      m_socket(std::move(socket)),
      m_timer(m_socket.get_executor()),
      m_local(local),
      m_greeting(context.greeting),
      m_decoder(handshake_frame_bytes),
      m_input(read_bytes)
{
    m_greeting.nonce = make_nonce();
}

void link::start()
{
    set_socket_options();
    arm_handshake_timer();
    send_now(m_greeting);
    read();
}

void link::set_socket_options()
{
    const auto limit = m_context.options.silence_limit;
    const int limit_s = std::max(1, static_cast<int>(std::chrono::duration_cast<seconds>(limit).count()));
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    m_socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPIDLE>(std::max(1, limit_s / 2)), ignored);
    m_socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPINTVL>(std::max(1, limit_s / 6)), ignored);
    m_socket.set_option(int_option<IPPROTO_TCP, TCP_KEEPCNT>(keepalive_probes), ignored);
    m_socket.set_option(int_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(limit.count())), ignored);
}

void link::arm_handshake_timer()
{
    m_timer.expires_after(m_context.options.handshake_timeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled && !self->m_up && !self->m_closed) {
            self->m_evidence = down_evidence::timed_out;
            self->refuse(link_refusal::handshake_timeout);
        }
    });
}

void link::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_input),
                             [self = shared_from_this()](const boost::system::error_code& failed,
                                                         std::size_t size) { self->on_read(failed, size); });
}

void link::on_read(const boost::system::error_code& failed, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (failed) {
        end_by_remote(failed);
        return;
    }
    m_context.counters.bytes_in += size;
    const auto error = m_decoder.feed(
        {m_input.data(), size}, [this](std::span<const std::uint8_t> bytes) { return on_frame(bytes); });
    if (error && !m_closed) {
        ++m_context.counters.bad_frames.at(static_cast<std::size_t>(*error));
        refuse(link_refusal::bad_frame);
    }
    if (!m_closed) {
        read();
    }
}

bool link::on_frame(std::span<const std::uint8_t> bytes)
{
    ++m_context.counters.frames_in;
    auto decoded = wire::decode(bytes);
    if (!decoded) {
        ++m_context.counters.bad_frames.at(static_cast<std::size_t>(decoded.error()));
        // A release that adds a kind of message must be able to talk to one that does not know it.
        if (decoded.error() == wire::frame_error::unknown_message && m_up) {
            return true;
        }
        refuse(link_refusal::bad_frame);
        return false;
    }
    if (m_up == is_handshake(decoded.value())) {
        refuse(link_refusal::unexpected_message);
        return false;
    }
    if (!m_up) {
        return on_handshake(decoded.value());
    }
    m_context.events.on_link_message(*this, std::move(decoded.value()));
    return !m_closed;
}

bool link::on_handshake(const wire::message& value)
{
    const auto* greeting = std::get_if<wire::hello>(&value);
    if ((greeting != nullptr) == m_greeted) {
        refuse(link_refusal::unexpected_message);
        return false;
    }
    return greeting != nullptr ? on_hello(*greeting) : on_proof(std::get<wire::hello_proof>(value));
}

bool link::on_hello(const wire::hello& value)
{
    if (value.protocol != wire::protocol_version) {
        refuse(link_refusal::other_protocol);
        return false;
    }
    if (value.instance == m_greeting.instance) {
        refuse(link_refusal::own_address);
        return false;
    }
    m_remote = value;
    m_greeted = true;
    if (m_local == side::connecting) {
        send_now(wire::hello_proof{proof_of(side::connecting)});
    }
    return true;
}

wire::handshake_proof link::proof_of(side prover) const
{
    const bool connecting = m_local == side::connecting;
    return make_proof(m_context.options.cluster_key, prover, connecting ? m_greeting : m_remote,
                      connecting ? m_remote : m_greeting);
}

bool link::on_proof(const wire::hello_proof& value)
{
    const side prover = m_local == side::connecting ? side::accepting : side::connecting;
    if (!same_proof(value.proof, proof_of(prover))) {
        refuse(link_refusal::wrong_key);
        return false;
    }
    if (m_local == side::accepting) {
        send_now(wire::hello_proof{proof_of(side::accepting)});
    }
    become_up();
    return !m_closed;
}

void link::become_up()
{
    m_up = true;
    m_timer.cancel();
    m_decoder.set_limit(wire::max_frame_bytes);
    ++m_context.counters.links_up;
    m_context.events.on_link_up(shared_from_this());
}

void link::send_now(const wire::message& value)
{
    queue(wire::encode(value).value());
}

bool link::queue(const wire::frame& bytes)
{
    if (m_closed || m_pending.size() + m_writing.size() + bytes.size() > m_context.options.max_queued_bytes) {
        return false;
    }
    m_pending.insert(m_pending.end(), bytes.begin(), bytes.end());
    ++m_pending_frames;
    post_write();
    return true;
}

void link::post_write()
{
    if (m_write_posted || !m_writing.empty()) {
        return;
    }
    m_write_posted = true;
    // Frames that are queued before this handler runs share its system call.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_write_posted = false;
        self->write();
    });
}

void link::write()
{
    if (m_closed || m_pending.empty() || !m_writing.empty()) {
        return;
    }
    m_writing.swap(m_pending);
    m_writing_frames = std::exchange(m_pending_frames, 0);
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_writing),
        [self = shared_from_this()](const boost::system::error_code& failed, std::size_t size) {
            self->on_written(failed, size);
        });
}

void link::on_written(const boost::system::error_code& failed, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (failed) {
        end_by_remote(failed);
        return;
    }
    live_counters& counters = m_context.counters;
    counters.bytes_out += size;
    counters.frames_out += std::exchange(m_writing_frames, 0);
    ++counters.writes;
    m_writing.clear();
    if (m_writing.capacity() > max_kept_bytes) {
        m_writing.shrink_to_fit();
    }
    write();
}

void link::end_by_remote(const boost::system::error_code& failed)
{
    if (!m_up) {
        ++m_context.counters.refused.at(static_cast<std::size_t>(link_refusal::handshake_closed));
    }
    close(failed == boost::asio::error::timed_out ? down_evidence::timed_out : down_evidence::closed);
}

void link::refuse(link_refusal reason)
{
    if (m_closed) {
        return;
    }
    m_refusal = reason;
    ++m_context.counters.refused.at(static_cast<std::size_t>(reason));
    close(m_evidence);
}

void link::close(down_evidence evidence)
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    m_evidence = evidence;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_context.events.on_link_closed(*this);
}

}  // namespace poplarshed::peer
