#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "peer/handshake.h"
#include "peer/peer.h"

namespace poplarshed::peer {

using boost::asio::ip::tcp;

class link;
using live_counters = basic_counters<std::atomic<std::uint64_t>>;

/// What a link tells its owner. Every call is made on the network's thread.
class link_events {
public:
    virtual ~link_events() = default;
    virtual void on_link_up(const std::shared_ptr<link>& from) = 0;
    virtual void on_link_message(link& from, wire::message value) = 0;
    virtual void on_link_closed(link& from) = 0;
};

/// What all links of a network share.
struct link_context {
    const network_options& options;
    const wire::hello& greeting;  ///< of this instance; each link sends it with its own nonce
    live_counters& counters;
    link_events& events;
};

/// One TCP connection: handshake, frames in, and one buffer of frames out.
class link : public std::enable_shared_from_this<link> {
public:
    link(link_context context, tcp::socket socket, side local);

    /// Sends the first hello and starts reading.
    void start();
    /// Adds a frame to those that the next system call writes.
    /// @returns false if the link holds as many bytes as it may
    bool queue(const wire::frame& bytes);
    /// Ends the link and reports it once.
    void close(down_evidence evidence);
    /// Ends the link for a reason of this side, which is counted.
    void refuse(link_refusal reason);

    bool is_up() const { return m_up; }
    side local_side() const { return m_local; }
    bool refused_for(link_refusal reason) const { return m_refusal == reason; }
    down_evidence evidence() const { return m_evidence; }
    /// Identity of the peer; empty before its hello.
    const wire::hello& remote() const { return m_remote; }
    /// Frames that were queued and not written.
    std::size_t unwritten_frames() const { return m_pending_frames + m_writing_frames; }

private:
    void set_socket_options();
    void arm_handshake_timer();
    void read();
    void end_by_remote(const boost::system::error_code& failed);
    void on_read(const boost::system::error_code& failed, std::size_t size);
    bool on_frame(std::span<const std::uint8_t> bytes);
    bool on_handshake(const wire::message& value);
    bool on_hello(const wire::hello& value);
    bool on_proof(const wire::hello_proof& value);
    wire::handshake_proof proof_of(side prover) const;
    void become_up();
    void send_now(const wire::message& value);
    void post_write();
    void write();
    void on_written(const boost::system::error_code& failed, std::size_t size);

    link_context m_context;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    side m_local;
    wire::hello m_greeting;
    wire::hello m_remote;
    bool m_greeted = false;
    bool m_up = false;
    bool m_closed = false;
    down_evidence m_evidence = down_evidence::closed;
    std::optional<link_refusal> m_refusal;
    wire::frame_decoder m_decoder;
    std::vector<std::uint8_t> m_input;
    std::vector<std::uint8_t> m_pending;
    std::vector<std::uint8_t> m_writing;
    std::size_t m_pending_frames = 0;
    std::size_t m_writing_frames = 0;
    bool m_write_posted = false;
};

}  // namespace poplarshed::peer
