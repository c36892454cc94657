#pragma once

/// Public header of the peer library: authenticated TCP links between entry instances.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"
#include "wire/wire.h"

namespace poplarshed::peer {

/// How a peer was found to be down. Only connection_refused shows that its process is gone.
enum class down_evidence {
    connection_refused,  ///< nothing listens at its address
    closed,              ///< the last link was closed or reset
    timed_out,           ///< no answer to a connection attempt, a handshake or a TCP keepalive
};

/// Why a link was refused or ended by this side.
enum class link_refusal {
    wrong_key,             ///< the proof does not match; also a replayed handshake
    other_protocol,        ///< the peer speaks another protocol version
    handshake_timeout,     ///< no complete handshake in time
    handshake_closed,      ///< the other side ended the handshake, for instance since it holds another key
    bad_frame,             ///< a frame was rejected; wire::frame_error says why
    unexpected_message,    ///< a handshake message out of turn
    too_many_connections,  ///< above the limit of links or of open handshakes
    own_address,           ///< this instance had connected to itself
};
inline constexpr std::size_t link_refusal_count = 8;

/// Why a message was not sent.
enum class drop_reason {
    not_connected,  ///< no link to the receiver
    queue_full,     ///< the receiver takes data too slowly
    too_large,      ///< above wire::max_frame_bytes
    link_closed,    ///< the link ended before the message was written
};
inline constexpr std::size_t drop_reason_count = 4;

std::string_view to_string(down_evidence value);
std::string_view to_string(link_refusal value);
std::string_view to_string(drop_reason value);

/// Settings of the links.
struct network_options {
    endpoint listen{"127.0.0.1:0"};  ///< port 0: chosen by the kernel
    endpoint advertised;             ///< address that peers use; empty: the listening address
    data_centre_id data_centre;
    poplarshed::incarnation incarnation;
    std::string cluster_key;      ///< shared by all instances; an empty key is an error
    std::vector<endpoint> peers;  ///< connected to for as long as the process runs
    std::size_t command_capacity = 65'536;
    std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;  ///< for each link
    std::size_t max_accepted_links = 512;
    std::size_t max_open_handshakes = 64;
    milliseconds connect_timeout{1000};
    milliseconds handshake_timeout{2000};
    milliseconds backoff_first{50};  ///< doubled for each failure; the delay is drawn from the upper half
    milliseconds backoff_limit{2000};
    milliseconds silence_limit{
        5000};  ///< TCP keepalive: a link without acknowledgements ends after this time
};

/// Totals since the start. Number is atomic inside the network.
template <class Number>
struct basic_counters {
    Number frames_in{};
    Number frames_out{};
    Number bytes_in{};
    Number bytes_out{};
    Number writes{};  ///< system calls; below frames_out where small messages were written together
    Number links_up{};
    std::array<Number, link_refusal_count> refused{};          ///< by link_refusal
    std::array<Number, wire::frame_error_count> bad_frames{};  ///< by wire::frame_error
    std::array<Number, drop_reason_count> dropped{};           ///< messages, by drop_reason
};

using network_counters = basic_counters<std::uint64_t>;

/// Receivers of events. Each is called on the network's thread and must not block; empty ones are skipped.
struct network_callbacks {
    std::function<void(const instance_id& from, const data_centre_id&, wire::message)> on_message;
    /// The first link to this run of an instance is up. A former run at the address was reported down before.
    std::function<void(const instance_id&, const data_centre_id&)> on_peer_up;
    /// The last link is down, or a connection attempt failed (then for each attempt).
    std::function<void(const endpoint&, down_evidence)> on_peer_down;
    std::function<void(const endpoint& to, drop_reason, std::size_t messages)> on_dropped;
};

/// Links to the peers: listens, connects, proves the cluster key both ways, and reconnects with backoff.
/// Runs one thread of its own.
class network {
public:
    /// Listens and starts the thread.
    /// @returns an error if the address is not valid or not free, or the key is empty
    static result<std::unique_ptr<network>> start(network_options options, network_callbacks callbacks);

    network(const network&) = delete;
    network& operator=(const network&) = delete;
    /// Closes every link and ends the thread. No callback runs afterwards.
    ~network();

    /// Address that peers use.
    const endpoint& address() const;
    /// Identity that peers see.
    instance_id self() const;

    /// Replaces the learned addresses to connect to; those of the options stay. Addresses to which no
    /// connection can be opened are left out, so that one of them does not end the links to the others. Any
    /// thread.
    /// @returns false if the command queue is full, when nothing changes, or if an address was left out
    bool set_peers(std::vector<endpoint> learned);

    /// Queues a message for whichever run of an instance is linked at the address. Any thread.
    /// @returns false if the command queue is full (counted as queue_full); later failures go to on_dropped
    bool send(const endpoint& to, wire::message value);
    /// Queues a message for one run of an instance only. Any thread.
    /// @returns false if the command queue is full (counted as queue_full); later failures go to on_dropped
    bool send(const instance_id& to, wire::message value);

    /// Closes the links to an instance and connects to it again, for links that have gone silent without an
    /// error. Any thread.
    /// @returns false if the command queue is full, when nothing changes
    bool reconnect(const endpoint& to);

    /// Waits until every queued message is written or dropped. Not for the network's own thread.
    /// @returns false if `limit` passed first
    bool flush(milliseconds limit);

    /// Any thread.
    network_counters counters() const;

private:
    class engine;
    explicit network(std::unique_ptr<engine> implementation);

    std::unique_ptr<engine> m_engine;
};

}  // namespace poplarshed::peer
