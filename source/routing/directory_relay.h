#pragma once

#include <optional>

#include "routing/peers.h"

namespace poplarshed::routing {

/// Decides who watches the store. Load pattern: hundreds of instances, each with thousands of heartbeats of
/// workers to read. One instance of a data centre watches and the others take changes from it; which one is
/// decided by address, without messages of its own.
class directory_relay {
public:
    struct decision {
        bool watch = true;                 ///< this instance watches the store
        std::optional<endpoint> upstream;  ///< takes changes from there

        bool operator==(const decision&) const = default;
    };

    /// @param works the own watch is in place
    decision decide(time_point now, const peer_table& peers, bool works);

private:
    std::optional<endpoint> m_followed;
    time_point m_lost;  ///< when the followed source went
};

}  // namespace poplarshed::routing
