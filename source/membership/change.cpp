#include <algorithm>

#include "membership/member.h"

namespace poplarshed::membership {

bool member::is_live(const instance_id& instance) const
{
    return std::any_of(m_snapshot.live.begin(), m_snapshot.live.end(),
                       [&instance](const view_member& live) { return live.instance == instance; });
}

bool member::is_draining(const instance_id& instance) const
{
    const auto peer = m_peers.find(instance);
    return peer != m_peers.end() && peer->second.draining;
}

bool member::is_failed(const view_member& candidate, time_point now) const
{
    if (candidate.instance == m_self.instance) {
        return false;
    }
    const bool replaced = candidate.instance.address == m_self.instance.address;
    if (replaced || m_failed.contains(candidate.instance)) {
        return true;
    }
    const auto absent = m_absent_since.find(candidate.instance);
    if (absent == m_absent_since.end() || now - absent->second < m_options.removal_grace) {
        return false;
    }
    const auto peer = m_peers.find(candidate.instance);
    return peer == m_peers.end() || peer->second.last_message == time_point::min() ||
           now - peer->second.last_message >= m_options.removal_grace;
}

bool member::all_synced(const view_state& own) const
{
    return std::all_of(own.view.members.begin(), own.view.members.end(), [&](const view_member& entry) {
        if (entry.instance == m_self.instance) {
            return own.synced >= own.view.epoch;
        }
        const auto peer = m_peers.find(entry.instance);
        if (peer == m_peers.end()) {
            return false;
        }
        const auto reported = peer->second.synced.find(own.view.data_centre);
        return reported != peer->second.synced.end() && reported->second >= own.view.epoch;
    });
}

std::optional<view_member> member::find_borrow_candidate(time_point now) const
{
    for (const data_centre_id& home : m_options.nearest) {
        const auto found = m_views.find(home);
        if (found == m_views.end()) {
            continue;
        }
        for (const view_member& candidate : found->second.view.members) {
            if (candidate.data_centre == home && is_live(candidate.instance) && !is_failed(candidate, now) &&
                !is_draining(candidate.instance)) {
                return candidate;
            }
        }
    }
    return std::nullopt;
}

proposal_input member::make_proposal_input(time_point now) const
{
    proposal_input input;
    input.self = m_self;
    input.disabled = m_options.disabled;
    input.leaving = m_leaving;
    input.may_join = !m_leaving && is_live(m_self.instance);
    input.borrow_candidate = find_borrow_candidate(now);
    const auto own = m_views.find(m_self.data_centre);
    if (own == m_views.end()) {
        input.current.data_centre = m_self.data_centre;
        return input;
    }
    input.current = own->second.view;
    input.all_synced = all_synced(own->second);
    input.amnesia_expired = now - own->second.amnesia_adopted > m_options.retention;
    for (const view_member& entry : input.current.members) {
        if (is_failed(entry, now)) {
            input.failed.push_back(entry.instance);
        }
        if (entry.data_centre != m_self.data_centre && is_draining(entry.instance)) {
            input.borrowed_draining = true;
        }
    }
    return input;
}

void member::propose(time_point now, std::vector<action>& out)
{
    if (m_pending || !m_have_snapshot) {
        return;
    }
    const auto read = m_snapshot.views.find(m_self.data_centre);
    const view* known = find_view(m_self.data_centre);
    // A view offered by a peer may be newer than the last snapshot; then the revision of its key is unknown,
    // so a compare-and-swap is not possible.
    if (known != nullptr && (read == m_snapshot.views.end() || read->second.view != *known)) {
        return;
    }
    std::optional<view> next = next_view(make_proposal_input(now));
    if (!next) {
        m_candidate.reset();
        return;
    }
    if (!m_candidate || *m_candidate != *next) {
        m_candidate = next;
        m_candidate_due = now + microseconds(m_random.below(microseconds(m_options.proposal_jitter).count()));
        return;
    }
    if (now < m_candidate_due) {
        return;
    }
    m_candidate.reset();
    next->nonce = m_random.bits();
    const key_revision expected = read == m_snapshot.views.end() ? key_revision() : read->second.revision;
    m_pending = pending_swap{*next, expected, now + m_options.swap_timeout, false};
    out.push_back(propose_view{std::move(*next), expected});
}

}  // namespace poplarshed::membership
