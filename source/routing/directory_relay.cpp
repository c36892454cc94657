#include "routing/directory_relay.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// Followers whose source is gone begin to watch one after the other, so that the store is not read by all at
// once. With the silence that shows the loss this stays within the time in which a configuration must be in
// force.
constexpr milliseconds takeover_step{200};
constexpr int max_takeover_steps = 4;
// A watch that is in place was answered within the last 2,600 ms; the rest is for a list of several pages.
constexpr milliseconds handover_time{3000};
// An instance whose own watch is not in place by then cannot read the store, or reads too slowly.
constexpr milliseconds own_watch_patience{4000};

/// Rank of an upstream for an instance that cannot watch; lower is better.
int rank_of(const workers::instance_status& status, const data_centre_id& home)
{
    return (status.directory_source ? 0 : 2) + (status.data_centre == home ? 0 : 1);
}

// The followed source as long as it is one, so that an instance that starts changes nothing for the others.
const workers::instance_status* find_source(time_point now, const peer_table& peers,
                                            const std::optional<endpoint>& followed, bool is_source)
{
    const workers::instance_status* first = nullptr;
    for (const workers::instance_status* other : peers.live(now)) {
        if (other->data_centre != peers.data_centre() || !other->directory_source ||
            (is_source && peers.self() < other->address)) {
            continue;
        }
        if (followed == other->address) {
            return other;
        }
        // Peers come in the order of their addresses.
        first = first == nullptr ? other : first;
    }
    return first;
}

}  // namespace

directory_relay::decision directory_relay::decide(time_point now, const peer_table& peers, bool works)
{
    const workers::instance_status* source = find_source(now, peers, m_followed, m_source);
    if (m_followed && (source == nullptr || source->address != *m_followed)) {
        m_followed.reset();
        m_lost = now;
    }
    if (source == nullptr) {
        return lead(now, peers, works);
    }
    m_source = false;
    return m_followed ? decision{false, *m_followed, m_since} : hand_over(now, *source, works);
}

directory_relay::decision directory_relay::hand_over(time_point now, const workers::instance_status& source,
                                                     bool works)
{
    if (!m_candidate || m_candidate->address != source.address) {
        m_candidate = candidate{source.address, source.directory_sequence, now};
    }
    const bool complete = works && now >= m_candidate->heard + handover_time;
    if (!complete && now < m_candidate->heard + own_watch_patience) {
        return {};
    }
    m_since = complete ? m_candidate->sequence : 0;
    m_candidate.reset();
    m_followed = source.address;
    return {false, *m_followed, m_since};
}

directory_relay::decision directory_relay::lead(time_point now, const peer_table& peers, bool works)
{
    const workers::instance_status* fallback = nullptr;
    int before = 0;
    for (const workers::instance_status* other : peers.live(now)) {
        before += other->data_centre == peers.data_centre() && other->address < peers.self() ? 1 : 0;
        if (other->directory_current &&
            (fallback == nullptr ||
             rank_of(*other, peers.data_centre()) < rank_of(*fallback, peers.data_centre()))) {
            fallback = other;
        }
    }
    m_candidate.reset();
    m_source = works;
    const bool watch = !m_lost || now >= *m_lost + takeover_step * std::min(before, max_takeover_steps);
    if (works || fallback == nullptr) {
        return {watch, std::nullopt, 0};
    }
    return {watch, fallback->address, 0};
}

}  // namespace poplarshed::routing
