#include "routing/directory_relay.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// Followers whose source is gone begin to watch one after the other, so that the store is not read by all at
// once. With the silence that shows the loss this stays within the time in which a configuration must be in
// force.
constexpr milliseconds takeover_step{200};
constexpr int max_takeover_steps = 4;

/// Rank of an upstream for an instance that cannot watch; lower is better.
int rank_of(const workers::instance_status& status, const data_centre_id& home)
{
    return (status.directory_source ? 0 : 2) + (status.data_centre == home ? 0 : 1);
}

}  // namespace

directory_relay::decision directory_relay::decide(time_point now, const peer_table& peers, bool works)
{
    const workers::instance_status* source = nullptr;
    const workers::instance_status* fallback = nullptr;
    int before = 0;
    for (const workers::instance_status* other : peers.live(now)) {
        const bool near = other->data_centre == peers.data_centre();
        before += near && other->address < peers.self() ? 1 : 0;
        // Peers come in the order of their addresses.
        if (source == nullptr && near && other->directory_source && other->address < peers.self()) {
            source = other;
        }
        if (other->directory_current &&
            (fallback == nullptr ||
             rank_of(*other, peers.data_centre()) < rank_of(*fallback, peers.data_centre()))) {
            fallback = other;
        }
    }
    if (source != nullptr) {
        m_followed = source->address;
        m_lost = now;
        return {false, source->address};
    }
    const milliseconds wait = takeover_step * std::min(before, max_takeover_steps);
    const bool watch = !m_followed || now >= m_lost + wait;
    return {watch, works || fallback == nullptr ? std::nullopt : std::optional(fallback->address)};
}

}  // namespace poplarshed::routing
