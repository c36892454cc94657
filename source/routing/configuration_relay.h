#pragma once

#include <optional>

#include "routing/peers.h"

namespace poplarshed::routing {

/// Decides when to take the configuration from a peer. It usually comes with the directory, from the store or
/// from the source of the data centre; a source that the store turns away goes on for a second or two without
/// noticing a newer version, and its followers then read the whole directory elsewhere.
class configuration_relay {
public:
    /// @param own_version in force here; 0 for none
    /// @returns the peer to ask now
    std::optional<endpoint> decide(time_point now, const peer_table& peers, std::uint64_t own_version);

private:
    std::optional<time_point> m_behind_since;
    time_point m_last_pull;
    endpoint m_last_asked;
};

}  // namespace poplarshed::routing
