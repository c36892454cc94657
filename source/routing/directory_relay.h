#pragma once

#include <optional>

#include "routing/peers.h"

namespace poplarshed::routing {

/// Decides whether this instance watches the store or takes directory changes from another instance.
///
/// With hundreds of instances, each would read the heartbeats of thousands of workers from the store. So one
/// instance of each data centre, the source, watches the store, and the others take changes from it. Among
/// instances that start together the lowest address becomes the source; no extra messages are exchanged.
///
/// An instance that starts to follow a source has read all items from the store itself. It keeps its own
/// watch until that watch must cover the source's sequence number of the first status received from it, and
/// then asks only for later changes. So a source does not have to send its complete directory to many
/// followers.
class directory_relay {
public:
    struct decision {
        bool watch = true;                 ///< this instance watches the store
        std::optional<endpoint> source;    ///< instance to take changes from; nothing: none
        std::uint64_t after_sequence = 0;  ///< changes of the source to ask for: later ones; 0: all items

        bool operator==(const decision&) const = default;
    };

    /// @param own_watch_ready this instance's own watch of the store is established
    decision decide(time_point now, const peer_table& peers, bool own_watch_ready);
    /// True if other instances may follow this one: its watch is established, and it neither follows a source
    /// nor is about to.
    bool is_source() const { return m_source; }

private:
    /// A source that this instance will follow once the hand-over is complete.
    struct candidate {
        endpoint address;
        std::uint64_t sequence = 0;  ///< of the source in its first status
        time_point first_status_at;
    };

    decision decide_without_source(time_point now, const peer_table& peers, bool own_watch_ready);
    decision hand_over(time_point now, const workers::instance_status& source, bool own_watch_ready);

    std::optional<endpoint> m_followed;
    /// Sequence number of the followed source up to which this instance has its changes; 0: unknown.
    std::uint64_t m_after_sequence = 0;
    std::optional<candidate> m_candidate;
    std::optional<time_point> m_source_lost_at;  ///< when the followed source became unreachable
    bool m_source = false;
};

}  // namespace poplarshed::routing
