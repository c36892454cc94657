#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

#include "common/common.h"

namespace poplarshed::http {

using connection_id = number_id<struct connection_id_tag>;

/// What the clients of one share (callers, readiness, metrics) may hold together.
struct budget_limits {
    std::size_t bytes = std::size_t{48} << 20U;
    std::size_t connections = 2048;
    std::size_t progress_bytes_per_s = 512;  ///< a connection that moves less makes no progress

    bool operator==(const budget_limits&) const = default;
};

/// Decides who may send, and whom to close, when clients hold more than the process can give. Does no I/O.
///
/// Load pattern: crowds that fill memory or descriptors and then stall, among clients that do not.
/// - Up to 3/4 of the bytes every request is accepted; above, new large ones are refused.
/// - Above 7/8, large requests that have begun wait, except the oldest, so that one can always end; small
///   ones go on.
/// - At 11/8 new requests of any size are refused: large ones that have begun must not keep small ones out.
/// - Above 3/4, or without a free connection, the stalled connection with the greatest product of bytes held
///   and time without progress is closed. One that makes progress, waits for its answer or is kept waiting
///   by the server is never chosen.
/// Large requests stop growing at 7/8 and small ones hold half at most, so that 11/8 is the most in all.
class budget {
public:
    /// Time without progress after which a connection may be closed for others. Above the usual delay of
    /// a retransmission, so that one lost packet does not count as a stall.
    static constexpr milliseconds stall_time{1000};
    /// Each connection counts at least this: its objects in this process.
    static constexpr std::size_t connection_bytes = 2048;

    explicit budget(const budget_limits& limits);

    bool has_free_connection() const { return m_entries.size() < m_limits.connections; }
    void open(connection_id id, time_point now);
    void close(connection_id id);

    /// Bytes that the connection holds now, its overhead excluded.
    void set_held(connection_id id, std::size_t bytes);
    /// Bytes of requests that wait for the core thread; they belong to no connection.
    void set_handed_over(std::size_t bytes) { m_handed_over = bytes; }
    /// Bytes that were read from the client, or that it took.
    void on_moved(connection_id id, std::size_t bytes, time_point now);
    /// A request has begun or ended: its time without progress starts anew.
    void restart(connection_id id, time_point now);
    /// The connection waits for the server, not the server for the client.
    void set_owed(connection_id id, bool owed, time_point now);

    /// Whether the connection may become a large one; then it counts as such until set_small().
    bool try_make_large(connection_id id);
    void set_small(connection_id id);
    bool is_large(connection_id id) const;
    bool accepts_large() const { return used() < m_limits.bytes / 4 * 3; }
    bool accepts_new() const { return used() < m_limits.bytes / 8 * 11; }
    bool under_pressure() const { return used() >= m_limits.bytes / 8 * 7; }
    /// Whether the server may read more from this connection.
    bool may_receive(connection_id id) const;
    /// Requests up to this size are small. All connections together hold at most half of the bytes with it.
    std::size_t small_request_bytes() const { return m_small_bytes; }

    /// The connection to close for want of memory; nothing if none is stalled. One that holds hardly more
    /// than its overhead is not chosen, since closing it would free nothing.
    std::optional<connection_id> memory_victim(time_point now) const;
    /// The connection to close for want of connections; nothing if none is stalled.
    std::optional<connection_id> connection_victim(time_point now) const;

    std::size_t used() const { return m_held + m_handed_over; }
    std::size_t connections() const { return m_entries.size(); }

private:
    struct entry {
        std::size_t held = connection_bytes;
        std::size_t moved = 0;  ///< since `progress`
        time_point progress;
        bool owed = false;
        std::optional<std::uint64_t> large;  ///< place in the order of large requests
    };

    std::optional<connection_id> victim(time_point now, std::size_t least_held) const;

    budget_limits m_limits;
    std::size_t m_small_bytes;
    std::size_t m_held = 0;
    std::size_t m_handed_over = 0;
    std::uint64_t m_last_large = 0;
    std::unordered_map<connection_id, entry> m_entries;
    std::map<std::uint64_t, connection_id> m_large;  ///< oldest first
};

}  // namespace poplarshed::http
