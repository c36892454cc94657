#include "membership/member.h"

#include <algorithm>

namespace poplarshed::membership {

namespace {

bool has_member(const view& candidate, const instance_id& instance)
{
    return std::any_of(candidate.members.begin(), candidate.members.end(),
                       [&instance](const view_member& entry) { return entry.instance == instance; });
}

bool is_newer(const view& candidate, const view& known)
{
    if (candidate.epoch != known.epoch) {
        return candidate.epoch > known.epoch;
    }
    return candidate.settled && !known.settled;
}

}  // namespace

member::member(view_member self, member_options options, random_source random)
    : m_self(std::move(self)), m_options(std::move(options)), m_random(random)
{}

const view* member::find_view(const data_centre_id& home) const
{
    const auto found = m_views.find(home);
    return found == m_views.end() ? nullptr : &found->second.view;
}

bool member::is_member() const
{
    const view* own = find_view(m_self.data_centre);
    return own != nullptr && has_member(*own, m_self.instance);
}

bool member::single_registrar() const
{
    const view* own = find_view(m_self.data_centre);
    return own != nullptr && own->members.size() < 2;
}

void member::set_load(configuration_version version, std::uint32_t jobs_in_flight)
{
    m_configuration_version = version;
    m_jobs_in_flight = jobs_in_flight;
}

void member::adopt(const view& next, time_point now, std::vector<action>& out)
{
    const auto [found, inserted] = m_views.try_emplace(next.data_centre);
    view_state& state = found->second;
    if (!inserted && !is_newer(next, state.view)) {
        return;
    }
    if (inserted || next.amnesia_epoch != state.view.amnesia_epoch) {
        state.amnesia_adopted = now;
    }
    state.view = next;
    const auto outdated = [&next](const skip_key& key) {
        return key.home == next.data_centre && key.epoch < next.epoch;
    };
    std::erase_if(m_skipped, outdated);
    std::erase_if(m_confirmed, [&outdated](const auto& entry) { return outdated(entry.first); });
    out.push_back(view_adopted{next});
    check_exit(out);
}

void member::mark_failed(const instance_id& instance, std::vector<action>& out)
{
    if (instance != m_self.instance && m_failed.insert(instance).second) {
        out.push_back(instance_failed{instance});
    }
}

std::vector<action> member::on_platform(const platform_snapshot& snapshot, time_point now)
{
    std::vector<action> out;
    const auto own = snapshot.views.find(m_self.data_centre);
    const auto known = m_snapshot.views.find(m_self.data_centre);
    const bool stale = known != m_snapshot.views.end() &&
                       (own == snapshot.views.end() || own->second.revision < known->second.revision);
    for (const auto& [home, entry] : snapshot.views) {
        adopt(entry.view, now, out);
    }
    if (stale) {
        return out;
    }
    if (!m_have_snapshot || now - m_snapshot_at > m_options.reading_gap) {
        m_absent_since.clear();
    }
    m_snapshot = snapshot;
    m_have_snapshot = true;
    m_snapshot_at = now;
    update_absences(now);
    prune_unlisted_instances();
    if (m_pending && own != snapshot.views.end() && own->second.revision > m_pending->expected) {
        m_recognised_writes += own->second.view.nonce == m_pending->view.nonce ? 1 : 0;
        m_pending.reset();
    } else if (m_pending && m_pending->read_back_requested) {
        m_pending.reset();
    }
    propose(now, out);
    return out;
}

void member::update_absences(time_point now)
{
    for (const auto& [home, state] : m_views) {
        for (const view_member& entry : state.view.members) {
            if (is_live(entry.instance)) {
                m_absent_since.erase(entry.instance);
            } else {
                m_absent_since.try_emplace(entry.instance, now);
            }
        }
    }
}

// State about an instance matters only while it is in a view or holds a lease. Without this each restart
// would add entries that are never removed.
void member::prune_unlisted_instances()
{
    const auto is_unlisted = [this](const instance_id& instance) {
        const auto lists = [&instance](const auto& state) { return has_member(state.second.view, instance); };
        return !is_live(instance) && std::none_of(m_views.begin(), m_views.end(), lists);
    };
    std::erase_if(m_peers, [&is_unlisted](const auto& entry) { return is_unlisted(entry.first); });
    std::erase_if(m_absent_since, [&is_unlisted](const auto& entry) { return is_unlisted(entry.first); });
    std::erase_if(m_failed, is_unlisted);
}

std::vector<action> member::on_swap(swap_status status, key_revision revision, time_point now)
{
    std::vector<action> out;
    if (!m_pending) {
        return out;
    }
    if (status == swap_status::succeeded) {
        const view written = m_pending->view;
        m_snapshot.views[m_self.data_centre] = {written, revision};
        m_pending.reset();
        adopt(written, now, out);
        return out;
    }
    // After a conflict or a lost response the key is read again; the nonce then identifies an own write.
    m_pending->read_back_requested = true;
    m_pending->due = now + m_options.swap_timeout;
    out.push_back(read_platform{});
    return out;
}

std::vector<action> member::on_message(const instance_id& from, const message& body, time_point now)
{
    std::vector<action> out;
    m_peers[from].last_message = now;
    if (const auto* offer = std::get_if<view_offer>(&body)) {
        adopt(offer->view, now, out);
    } else {
        handle_heartbeat(from, std::get<heartbeat>(body), now, out);
    }
    return out;
}

void member::handle_heartbeat(const instance_id& from, const heartbeat& body, time_point now,
                              std::vector<action>& out)
{
    bool progressed = false;
    m_peers[from].draining = body.drain == drain_state::draining;
    for (const view_progress& progress : body.views) {
        view_epoch& synced = m_peers[from].synced[progress.data_centre];
        progressed = progressed || progress.synced > synced;
        synced = std::max(synced, progress.synced);
        const view* known = find_view(progress.data_centre);
        if (known != nullptr && progress.adopted < known->epoch) {
            out.push_back(send_message{from, view_offer{*known}});
        }
    }
    offer_unknown_views(from, body, out);
    for (const instance_id& instance : body.tombstones) {
        mark_failed(instance, out);
    }
    record_confirmations(from, body);
    check_skips(out);
    if (progressed) {
        propose(now, out);
    }
}

// Sends the views that are missing from a heartbeat: an instance that starts in a platform outage has none.
void member::offer_unknown_views(const instance_id& to, const heartbeat& body, std::vector<action>& out) const
{
    for (const auto& [home, state] : m_views) {
        const auto names = [&place = home](const view_progress& progress) {
            return progress.data_centre == place;
        };
        if (std::none_of(body.views.begin(), body.views.end(), names)) {
            out.push_back(send_message{to, view_offer{state.view}});
        }
    }
}

std::vector<action> member::on_evidence(const instance_id& peer, evidence observed, time_point /*now*/)
{
    std::vector<action> out;
    if (observed != evidence::unreachable) {
        mark_failed(peer, out);
        check_skips(out);
    }
    return out;
}

std::vector<action> member::on_synced(const data_centre_id& home, view_epoch epoch, time_point now)
{
    std::vector<action> out;
    const auto found = m_views.find(home);
    if (found != m_views.end() && epoch > found->second.synced) {
        found->second.synced = epoch;
        // Sent without waiting for the interval, so that the view settles within a round trip.
        send_heartbeats(now, out);
        propose(now, out);
    }
    return out;
}

std::vector<action> member::on_timer(time_point now)
{
    std::vector<action> out;
    if (now >= m_next_heartbeat) {
        send_heartbeats(now, out);
    }
    if (m_pending && now >= m_pending->due) {
        m_pending->read_back_requested = true;
        m_pending->due = now + m_options.swap_timeout;
        out.push_back(read_platform{});
    }
    propose(now, out);
    check_exit(out);
    return out;
}

std::vector<action> member::leave(time_point now)
{
    m_leaving = true;
    return on_timer(now);
}

// A heartbeat that lists a tombstone was sent after that instance failed, so it shows that the sender still
// had the reported epoch after the failure.
void member::record_confirmations(const instance_id& from, const heartbeat& body)
{
    for (const view_progress& progress : body.views) {
        const view* known = find_view(progress.data_centre);
        if (known == nullptr || progress.adopted != known->epoch) {
            continue;
        }
        for (const instance_id& failed : body.tombstones) {
            m_confirmed[{known->data_centre, known->epoch, failed}].insert(from);
        }
    }
}

// The current view may be outdated: in a newer one, without this instance, a registrar may have granted
// claims before it failed. A failed member is therefore skipped only after every other member has confirmed
// that it still had the same epoch after the failure.
void member::check_skips(std::vector<action>& out)
{
    for (const auto& [home, state] : m_views) {
        if (!has_member(state.view, m_self.instance) || state.view.members.size() < 3) {
            continue;
        }
        for (const view_member& candidate : state.view.members) {
            const skip_key key{home, state.view.epoch, candidate.instance};
            if (!m_failed.contains(candidate.instance) || m_skipped.contains(key)) {
                continue;
            }
            const std::set<instance_id>& confirmed = m_confirmed[key];
            const bool all_confirmed = std::all_of(
                state.view.members.begin(), state.view.members.end(), [&](const view_member& other) {
                    return other == candidate || other == m_self || confirmed.contains(other.instance);
                });
            if (all_confirmed) {
                m_skipped.insert(key);
                out.push_back(skip_member{home, state.view.epoch, candidate.instance});
            }
        }
    }
}

void member::on_linked(const instance_id& peer)
{
    m_linked.insert_or_assign(peer.address, peer);
}

void member::on_unlinked(const endpoint& address)
{
    m_linked.erase(address);
}

std::vector<instance_id> member::heartbeat_receivers() const
{
    std::vector<instance_id> result;
    for (const view_member& live : m_snapshot.live) {
        // A borrowed member sends heartbeats to instances of the other data centre, so that one which waits
        // to join the view receives its progress towards settling.
        const view* their_view = find_view(live.data_centre);
        if (live.data_centre == m_self.data_centre ||
            (their_view != nullptr && has_member(*their_view, m_self.instance))) {
            result.push_back(live.instance);
        }
    }
    for (const auto& [home, state] : m_views) {
        if (home != m_self.data_centre && !has_member(state.view, m_self.instance)) {
            continue;
        }
        for (const view_member& entry : state.view.members) {
            result.push_back(entry.instance);
        }
    }
    for (const auto& [address, linked] : m_linked) {
        // During a platform outage an instance that is in no view can be found only by its link.
        if (!is_live(linked)) {
            result.push_back(linked);
        }
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    std::erase_if(result, [this](const instance_id& instance) {
        return instance == m_self.instance || m_failed.contains(instance);
    });
    return result;
}

void member::send_heartbeats(time_point now, std::vector<action>& out)
{
    m_next_heartbeat = now + m_options.heartbeat_interval;
    heartbeat body;
    body.data_centre = m_self.data_centre;
    body.configuration_version = m_configuration_version;
    body.drain = m_leaving ? drain_state::draining : drain_state::serving;
    body.jobs_in_flight = m_jobs_in_flight;
    for (const auto& [home, state] : m_views) {
        body.views.push_back({home, state.view.epoch, state.synced});
        for (const view_member& entry : state.view.members) {
            if (m_failed.contains(entry.instance)) {
                body.tombstones.push_back(entry.instance);
            }
        }
    }
    for (const instance_id& to : heartbeat_receivers()) {
        out.push_back(send_message{to, body});
    }
}

void member::check_exit(std::vector<action>& out)
{
    if (!m_leaving || m_exit_reported) {
        return;
    }
    for (const auto& [home, state] : m_views) {
        const bool involved = home == m_self.data_centre || has_member(state.view, m_self.instance);
        const bool is_empty = state.view.members.empty();
        if (involved && (has_member(state.view, m_self.instance) || !(state.view.settled || is_empty))) {
            return;
        }
    }
    m_exit_reported = true;
    out.push_back(may_exit{});
}

}  // namespace poplarshed::membership
