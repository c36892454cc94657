#include <algorithm>
#include <utility>

#include "coordinator/coordinator.h"

namespace poplarshed::coordinator {

// Actions of the dispatcher.

void coordinator::execute(std::vector<dispatch::action> actions, time_point now)
{
    for (dispatch::action& action : actions) {
        std::visit([this, now](auto& alternative) { execute(alternative, now); }, action);
    }
}

void coordinator::execute(dispatch::start_attempt& action, time_point /*now*/)
{
    m_out.start(std::move(action));
}

void coordinator::execute(dispatch::abandon_attempt& action, time_point /*now*/)
{
    m_out.abandon(action);
}

void coordinator::execute(dispatch::count_retry& action, time_point /*now*/)
{
    m_out.count(action);
}

void coordinator::execute(dispatch::send_slot_demand& action, time_point /*now*/)
{
    for (const instance_id& peer : m_local_peers) {
        if (peer != m_options.self) {
            m_out.send(peer, action.message);
        }
    }
}

void coordinator::execute(dispatch::send_slot_grant& action, time_point /*now*/)
{
    if (action.to < m_local_peers.size()) {
        m_out.send(m_local_peers[action.to], std::move(action.message));
    }
}

void coordinator::execute(dispatch::answer_job& action, time_point now)
{
    const auto running = m_running.find(action.key);
    if (running == m_running.end()) {
        return;
    }
    const submission_id id = running->second;
    m_running.erase(running);
    end_own(id, std::move(action.outcome), now);
}

// Actions of the registrar.

void coordinator::execute(registry::send_message& action, time_point /*now*/)
{
    m_out.send(action.to, wire::to_message(std::move(action.body)));
}

void coordinator::execute(registry::claim_granted& action, time_point now)
{
    jobs::submission* submission = m_submissions.find(action.id);
    if (submission == nullptr || submission->stage != jobs::stage::claiming) {
        m_registrar.release(action.id, now);
        return;
    }
    // A previous owner may have started the job: either it was lost, or the job runs without a recorded
    // claim.
    submission->may_have_run_before = action.rerun || (!action.recorded && !submission->job.first_send);
    run(*submission, now);
}

void coordinator::execute(registry::follow_owner& action, time_point now)
{
    jobs::submission* submission = m_submissions.find(action.id);
    if (submission != nullptr && submission->stage == jobs::stage::claiming) {
        follow(*submission, action.owner, now);
    }
}

void coordinator::execute(registry::claim_refused& action, time_point now)
{
    jobs::submission* submission = m_submissions.find(action.id);
    if (submission != nullptr && submission->stage == jobs::stage::claiming) {
        finish(action.id, dispatch::job_refused{std::move(action.cause)}, now);
    }
}

void coordinator::execute(registry::records_synced& action, time_point now)
{
    execute(m_member.on_synced(action.home, action.epoch, now), now);
}

// Actions of membership.

void coordinator::execute(std::vector<membership::action> actions, time_point now)
{
    for (membership::action& action : actions) {
        std::visit([this, now](auto& alternative) { execute(alternative, now); }, action);
    }
}

void coordinator::execute(membership::send_message& action, time_point /*now*/)
{
    m_out.send(action.to, wire::to_message(std::move(action.body)));
}

void coordinator::execute(membership::propose_view& action, time_point /*now*/)
{
    m_out.propose_view(action.view, action.expected);
}

void coordinator::execute(membership::read_platform& /*action*/, time_point /*now*/)
{
    m_out.read_membership();
}

void coordinator::execute(membership::view_adopted& action, time_point now)
{
    m_registrar.on_view(action.view, now);
    if (action.view.data_centre == m_options.data_centre) {
        update_peers(action.view, now);
    }
}

void coordinator::execute(membership::instance_failed& action, time_point now)
{
    m_registrar.on_instance_failed(action.instance, now);
    std::vector<submission_id> followed;
    m_submissions.for_each(jobs::stage::following, [&](const jobs::submission& submission) {
        if (submission.owner == action.instance) {
            followed.push_back(submission.job.submission);
        }
    });
    // The registrars decide again: they refuse with owner_lost, or grant the job if its service allows a
    // rerun.
    for (const submission_id& id : followed) {
        claim(*m_submissions.find(id), now);
    }
}

void coordinator::execute(membership::skip_member& action, time_point /*now*/)
{
    m_registrar.on_member_skipped(action.home, action.epoch, action.instance);
}

void coordinator::execute(membership::may_exit& /*action*/, time_point /*now*/)
{
    m_handed_over = true;
}

void coordinator::update_peers(const membership::view& view, time_point now)
{
    m_local_peers.clear();
    for (const membership::view_member& member : view.members) {
        if (member.data_centre == m_options.data_centre) {
            m_local_peers.push_back(member.instance);
        }
    }
    auto self = std::find(m_local_peers.begin(), m_local_peers.end(), m_options.self);
    if (self == m_local_peers.end()) {
        // Not yet in the view, or already removed: it uses the runners nevertheless, so it counts as one of
        // the instances that share them.
        self = m_local_peers.insert(self, m_options.self);
    }
    const auto index = static_cast<std::size_t>(self - m_local_peers.begin());
    execute(m_dispatcher->set_peers(index, m_local_peers.size(), now), now);
}

}  // namespace poplarshed::coordinator
