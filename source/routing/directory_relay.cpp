#include "routing/directory_relay.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// Followers that lost their source start to watch one after the other, so that they do not all read the store
// at once. Together with the status timeout that detects the loss, the longest delay stays within the time in
// which a new configuration must be in force.
constexpr milliseconds takeover_step{200};
constexpr int max_takeover_steps = 4;
// An established watch was answered within the last 2,600 ms; the rest is for a list of several pages.
constexpr milliseconds handover_time{3000};
// An instance without an established watch after this time cannot read the store, or reads it too slowly; it
// takes all items from the source.
constexpr milliseconds own_watch_timeout{4000};

/// Rank of an instance as a source for one that cannot watch the store; lower is better.
int source_rank(const workers::instance_status& status, const data_centre_id& own_data_centre)
{
    return (status.directory_source ? 0 : 2) + (status.data_centre == own_data_centre ? 0 : 1);
}

// Prefers the followed source while it is still a source, so that the start of another instance does not make
// followers change over.
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
        // live() returns instances in ascending order of their addresses.
        first = first == nullptr ? other : first;
    }
    return first;
}

}  // namespace

directory_relay::decision directory_relay::decide(time_point now, const peer_table& peers,
                                                  bool own_watch_ready)
{
    const workers::instance_status* source = find_source(now, peers, m_followed, m_source);
    if (m_followed && (source == nullptr || source->address != *m_followed)) {
        m_followed.reset();
        m_source_lost_at = now;
    }
    if (source == nullptr) {
        return decide_without_source(now, peers, own_watch_ready);
    }
    m_source = false;
    return m_followed ? decision{false, *m_followed, m_after_sequence}
                      : hand_over(now, *source, own_watch_ready);
}

directory_relay::decision directory_relay::hand_over(time_point now, const workers::instance_status& source,
                                                     bool own_watch_ready)
{
    if (!m_candidate || m_candidate->address != source.address) {
        m_candidate = candidate{source.address, source.directory_sequence, now};
    }
    const bool complete = own_watch_ready && now >= m_candidate->first_status_at + handover_time;
    if (!complete && now < m_candidate->first_status_at + own_watch_timeout) {
        return {};
    }
    m_after_sequence = complete ? m_candidate->sequence : 0;
    m_candidate.reset();
    m_followed = source.address;
    return {false, *m_followed, m_after_sequence};
}

directory_relay::decision directory_relay::decide_without_source(time_point now, const peer_table& peers,
                                                                 bool own_watch_ready)
{
    const workers::instance_status* fallback = nullptr;
    int lower_addresses = 0;
    for (const workers::instance_status* other : peers.live(now)) {
        lower_addresses += other->data_centre == peers.data_centre() && other->address < peers.self() ? 1 : 0;
        if (other->directory_current &&
            (fallback == nullptr ||
             source_rank(*other, peers.data_centre()) < source_rank(*fallback, peers.data_centre()))) {
            fallback = other;
        }
    }
    m_candidate.reset();
    m_source = own_watch_ready;
    const bool watch =
        !m_source_lost_at ||
        now >= *m_source_lost_at + takeover_step * std::min(lower_addresses, max_takeover_steps);
    if (own_watch_ready || fallback == nullptr) {
        return {watch, std::nullopt, 0};
    }
    return {watch, fallback->address, 0};
}

}  // namespace poplarshed::routing
