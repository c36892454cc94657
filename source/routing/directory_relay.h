#pragma once

#include <optional>

#include "routing/peers.h"

namespace poplarshed::routing {

/// Decides who watches the store. Load pattern: hundreds of instances, each with thousands of heartbeats of
/// workers to read. One instance of a data centre watches and the others take changes from it; which one is
/// decided by address among those that start together, without messages of its own.
///
/// An instance that begins to follow has read all items from the store itself, and goes on watching until it
/// must have seen what the source knew when it was first heard. So no source sends all its items to many.
class directory_relay {
public:
    struct decision {
        bool watch = true;                 ///< this instance watches the store
        std::optional<endpoint> source;    ///< takes changes from there
        std::uint64_t after_sequence = 0;  ///< later changes of the upstream are missing here; 0: unknown

        bool operator==(const decision&) const = default;
    };

    /// @param works the own watch is in place
    decision decide(time_point now, const peer_table& peers, bool works);
    /// This instance's watch serves others: it neither follows nor is about to.
    bool is_source() const { return m_source; }

private:
    /// A source that this instance is going to follow.
    struct candidate {
        endpoint address;
        std::uint64_t sequence = 0;  ///< of the source when it was first heard
        time_point heard;
    };

    decision lead(time_point now, const peer_table& peers, bool works);
    decision hand_over(time_point now, const workers::instance_status& source, bool works);

    std::optional<endpoint> m_followed;
    std::uint64_t m_since = 0;
    std::optional<candidate> m_candidate;
    std::optional<time_point> m_lost;  ///< when the followed source went
    bool m_source = false;
};

}  // namespace poplarshed::routing
