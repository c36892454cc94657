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
    m_version = version;
    m_jobs = jobs_in_flight;
}

void member::adopt(const view& next, time_point now, std::vector<action>& out)
{
    const auto [found, inserted] = m_views.try_emplace(next.data_centre);
    followed& state = found->second;
    if (!inserted && !is_newer(next, state.view)) {
        return;
    }
    if (inserted || next.amnesia_epoch != state.view.amnesia_epoch) {
        state.amnesia_seen = now;
    }
    state.view = next;
    const auto outdated = [&next](const skip_key& key) {
        return key.home == next.data_centre && key.epoch < next.epoch;
    };
    std::erase_if(m_skips, outdated);
    std::erase_if(m_confirmed, [&outdated](const auto& entry) { return outdated(entry.first); });
    out.push_back(view_adopted{next});
    check_exit(out);
}

void member::bury(const instance_id& instance, std::vector<action>& out)
{
    if (instance != m_self.instance && m_dead.insert(instance).second) {
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
    note_absences(now);
    forget_strangers();
    if (m_pending && own != snapshot.views.end() && own->second.revision > m_pending->expected) {
        m_recognised += own->second.view.nonce == m_pending->view.nonce ? 1 : 0;
        m_pending.reset();
    } else if (m_pending && m_pending->overdue) {
        m_pending.reset();
    }
    propose(now, out);
    return out;
}

void member::note_absences(time_point now)
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

// Restarts would otherwise add an entry each; what is known about an instance counts only while it is in a
// view.
void member::forget_strangers()
{
    const auto stranger = [this](const instance_id& instance) {
        const auto lists = [&instance](const auto& state) { return has_member(state.second.view, instance); };
        return !is_live(instance) && std::none_of(m_views.begin(), m_views.end(), lists);
    };
    std::erase_if(m_peers, [&stranger](const auto& entry) { return stranger(entry.first); });
    std::erase_if(m_absent_since, [&stranger](const auto& entry) { return stranger(entry.first); });
    std::erase_if(m_dead, stranger);
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
    // A lost swap and a lost answer both need a reading; the nonce then tells whether the write is our own.
    m_pending->overdue = true;
    m_pending->due = now + m_options.swap_timeout;
    out.push_back(read_platform{});
    return out;
}

std::vector<action> member::on_message(const instance_id& from, const message& body, time_point now)
{
    std::vector<action> out;
    m_peers[from].heard = now;
    if (const auto* offer = std::get_if<view_offer>(&body)) {
        adopt(offer->view, now, out);
    } else {
        take_heartbeat(from, std::get<heartbeat>(body), now, out);
    }
    return out;
}

void member::take_heartbeat(const instance_id& from, const heartbeat& body, time_point now,
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
        bury(instance, out);
    }
    note_confirmations(from, body);
    check_skips(out);
    if (progressed) {
        propose(now, out);
    }
}

// An instance that starts while the platform is down knows no view at all.
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

std::vector<action> member::on_evidence(const instance_id& peer, evidence shown, time_point /*now*/)
{
    std::vector<action> out;
    if (shown != evidence::unreachable) {
        bury(peer, out);
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
        // Peers learn at once, so that the view settles within a round trip.
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
        m_pending->overdue = true;
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

// A heartbeat that lists a tombstone was sent after the death, so its sender was still in the epoch it names.
void member::note_confirmations(const instance_id& from, const heartbeat& body)
{
    for (const view_progress& progress : body.views) {
        const view* known = find_view(progress.data_centre);
        if (known == nullptr || progress.adopted != known->epoch) {
            continue;
        }
        for (const instance_id& dead : body.tombstones) {
            m_confirmed[{known->data_centre, known->epoch, dead}].insert(from);
        }
    }
}

// A member may be missing from a newer view in which a registrar that died since granted claims. A dead
// member is therefore skipped only when every other member was in the same epoch after the death.
void member::check_skips(std::vector<action>& out)
{
    for (const auto& [home, state] : m_views) {
        if (!has_member(state.view, m_self.instance) || state.view.members.size() < 3) {
            continue;
        }
        for (const view_member& candidate : state.view.members) {
            const skip_key key{home, state.view.epoch, candidate.instance};
            if (!m_dead.contains(candidate.instance) || m_skips.contains(key)) {
                continue;
            }
            const std::set<instance_id>& confirmed = m_confirmed[key];
            const bool all = std::all_of(
                state.view.members.begin(), state.view.members.end(), [&](const view_member& other) {
                    return other == candidate || other == m_self || confirmed.contains(other.instance);
                });
            if (all) {
                m_skips.insert(key);
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

std::vector<instance_id> member::audience() const
{
    std::vector<instance_id> result;
    for (const view_member& live : m_snapshot.live) {
        // An instance that waits to join learns from a borrowed member whether the view has settled.
        const view* theirs = find_view(live.data_centre);
        if (live.data_centre == m_self.data_centre ||
            (theirs != nullptr && has_member(*theirs, m_self.instance))) {
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
        // Without the platform, links are all that shows an instance that is in no view.
        if (!is_live(linked)) {
            result.push_back(linked);
        }
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    std::erase_if(result, [this](const instance_id& instance) {
        return instance == m_self.instance || m_dead.contains(instance);
    });
    return result;
}

void member::send_heartbeats(time_point now, std::vector<action>& out)
{
    m_next_heartbeat = now + m_options.heartbeat_interval;
    heartbeat body;
    body.data_centre = m_self.data_centre;
    body.configuration_version = m_version;
    body.drain = m_leaving ? drain_state::draining : drain_state::serving;
    body.jobs_in_flight = m_jobs;
    for (const auto& [home, state] : m_views) {
        body.views.push_back({home, state.view.epoch, state.synced});
        for (const view_member& entry : state.view.members) {
            if (m_dead.contains(entry.instance)) {
                body.tombstones.push_back(entry.instance);
            }
        }
    }
    for (const instance_id& to : audience()) {
        out.push_back(send_message{to, body});
    }
}

void member::check_exit(std::vector<action>& out)
{
    if (!m_leaving || m_exit_told) {
        return;
    }
    for (const auto& [home, state] : m_views) {
        const bool involved = home == m_self.data_centre || has_member(state.view, m_self.instance);
        const bool emptied = state.view.members.empty();
        if (involved && (has_member(state.view, m_self.instance) || !(state.view.settled || emptied))) {
            return;
        }
    }
    m_exit_told = true;
    out.push_back(may_exit{});
}

}  // namespace poplarshed::membership
