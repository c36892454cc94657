#include "routing/status_schedule.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// The interval of a sender is the number of senders of its kind multiplied by one of these times. So an
// instance receives at most 200 statuses a second from frequent senders of its data centre, 100 from those of
// other data centres, and 50 each from the other instances of its own and of other data centres.
constexpr milliseconds interval_per_near_frequent_sender{5};
constexpr milliseconds interval_per_far_frequent_sender{10};
constexpr milliseconds interval_per_plain_sender{20};
// The interval is also at least the number of receivers multiplied by this time. So an instance sends at most
// 333 statuses a second to each of the two groups, beside those to instances that share a job.
constexpr milliseconds interval_per_receiver{3};
// Statuses of instances of other data centres that hold no pool only show that these are live.
constexpr milliseconds min_far_interval{240};

struct intervals {
    milliseconds near{};
    milliseconds far{};
};

bool is_frequent_sender(const workers::instance_status& status)
{
    return status.directory_source || !status.pools.empty();
}

intervals intervals_of(time_point now, const status_schedule::view& state)
{
    int near_senders = 1;
    int far_senders = 1;
    int near_receivers = 0;
    int far_receivers = 0;
    for (const workers::instance_status* other : state.peers.live(now)) {
        const bool is_near = other->data_centre == state.peers.data_centre();
        ++(is_near ? near_receivers : far_receivers);
        if (is_frequent_sender(*other) == state.sends_often) {
            ++(is_near ? near_senders : far_senders);
        }
    }
    const milliseconds near_sending =
        near_senders * (state.sends_often ? interval_per_near_frequent_sender : interval_per_plain_sender);
    const milliseconds far_sending =
        far_senders * (state.sends_often ? interval_per_far_frequent_sender : interval_per_plain_sender);
    return {std::max({min_status_interval, near_sending, near_receivers * interval_per_receiver}),
            std::max({state.sends_often ? min_status_interval : min_far_interval, far_sending,
                      far_receivers * interval_per_receiver})};
}

}  // namespace

std::vector<due_status> status_schedule::due(time_point now, const view& state)
{
    const intervals usual = intervals_of(now, state);
    std::vector<due_status> found;
    for (const endpoint& to : state.targets) {
        if (to == state.peers.self()) {
            continue;
        }
        const auto known = state.peers.all().find(to);
        const bool far =
            known != state.peers.all().end() && known->second.status.data_centre != state.peers.data_centre();
        milliseconds interval = far ? usual.far : usual.near;
        if (state.job_peers.contains(to)) {
            interval = std::min(interval, job_peer_status_interval);
        }
        announcement& last = m_sent[to];
        if (now >= last.sent + interval) {
            last = {now, interval};
            found.push_back({to, interval});
        }
    }
    std::erase_if(m_sent, [now](const auto& entry) { return now > entry.second.sent + peer_retention_time; });
    return found;
}

void status_schedule::on_sent(time_point now, const due_status& sent)
{
    m_sent[sent.to] = {now, sent.interval};
}

bool status_schedule::has_job_peer_interval(time_point now, const endpoint& to) const
{
    const auto found = m_sent.find(to);
    return found != m_sent.end() && found->second.interval <= job_peer_status_interval &&
           now < found->second.sent + job_peer_status_interval;
}

}  // namespace poplarshed::routing
