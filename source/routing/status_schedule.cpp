#include "routing/status_schedule.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// What an instance receives: 200 statuses a second from speakers of its data centre, 100 from those
// elsewhere, and 100 each from the others here and there. At 20 us a status that is 1% of a core.
constexpr milliseconds for_each_near_speaker{5};
constexpr milliseconds for_each_other{10};
// Instances elsewhere that hold nothing matter only for the count of those that live.
constexpr milliseconds least_far_interval{240};

struct intervals {
    milliseconds near{};
    milliseconds far{};
};

bool speaks(const workers::instance_status& status)
{
    return status.directory_source || !status.pools.empty();
}

intervals intervals_of(time_point now, const status_schedule::view& state)
{
    int near = 1;
    int far = 1;
    for (const workers::instance_status* other : state.peers.live(now)) {
        if (speaks(*other) == state.sends_often) {
            ++(other->data_centre == state.peers.data_centre() ? near : far);
        }
    }
    return {
        std::max(min_status_interval, near * (state.sends_often ? for_each_near_speaker : for_each_other)),
        std::max(state.sends_often ? min_status_interval : least_far_interval, far * for_each_other)};
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
        promise& last = m_sent[to];
        if (now >= last.sent + interval) {
            last = {now, interval};
            found.push_back({to, interval});
        }
    }
    std::erase_if(m_sent, [now](const auto& item) { return now > item.second.sent + peer_retention_time; });
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
