#include <algorithm>
#include <array>
#include <type_traits>
#include <utility>

#include "coordinator/coordinator.h"

namespace poplarshed::coordinator {

namespace {

// Limit on claims repeated because the owner no longer had the job; ends a loop between two instances.
constexpr std::uint32_t max_repeated_claims = 3;
// Interval at which a follow request is repeated, since a message is lost if its connection closes.
constexpr milliseconds follow_retry_interval{500};

/// How an owner responds to a follow request.
struct follow_response {
    bool attach = false;  ///< send the outcome, now or once the job has finished
    std::optional<refusal_reason>
        reason;  ///< of the refusal to send; none: no response, the follower repeats its request
};

// Indexed by registry::ownership. On owner_lost with the verdict not_run the follower repeats its claim.
constexpr std::array<follow_response, 5> follow_responses{{
    {false, refusal_reason::owner_lost},
    {true, {}},
    {false, {}},
    {true, {}},
    {false, refusal_reason::id_reused},
}};

}  // namespace

void coordinator::follow(jobs::submission& submission, const instance_id& owner, time_point now)
{
    const submission_id id = submission.job.submission;
    if (owner != m_options.self) {
        submission.stage = jobs::stage::following;
        submission.owner = owner;
        submission.next_follow_request = now + follow_retry_interval;
        m_out.send(owner, wire::job_follow{id, submission.job.body});
        return;
    }
    if (m_registrar.answer_follower(id, submission.job.body, now) == registry::ownership::granted) {
        // This instance ran the job but no longer retains its outcome.
        finish(id, jobs::failed(verdict::may_have_run, refusal_reason::answer_expired), now);
        return;
    }
    claim_again(submission, now);
}

void coordinator::claim_again(jobs::submission& submission, time_point now)
{
    if (++submission.repeated_claims <= max_repeated_claims) {
        claim(submission, now);
        return;
    }
    finish(submission.job.submission,
           jobs::refused(verdict::may_have_run, refusal_reason::registrar_unavailable), now);
}

void coordinator::check_followed(time_point now)
{
    std::vector<submission_id> expired;
    m_submissions.for_each(jobs::stage::following, [&](jobs::submission& submission) {
        if (now >= submission.deadline) {
            expired.push_back(submission.job.submission);
        } else if (now >= submission.next_follow_request) {
            submission.next_follow_request = now + follow_retry_interval;
            m_out.send(submission.owner, wire::job_follow{submission.job.submission, submission.job.body});
        }
    });
    for (const submission_id& id : expired) {
        // A refusal is not retained: the owner may still answer a later resubmission.
        finish(id, jobs::refused(verdict::may_have_run, refusal_reason::owner_unreachable), now);
    }
}

void coordinator::on_message(const instance_id& from, wire::message message, time_point now)
{
    std::visit([&](auto& content) { receive(from, content, now); }, message);
}

void coordinator::receive(const instance_id& from, wire::job_follow& message, time_point now)
{
    const registry::ownership ownership = m_registrar.answer_follower(message.submission, message.body, now);
    const follow_response& chosen = follow_responses.at(static_cast<std::size_t>(ownership));
    jobs::submission* submission = m_submissions.find(message.submission);
    const bool held_here = submission != nullptr && submission->stage != jobs::stage::following;
    if (chosen.attach && held_here) {
        attach_follower(*submission, from);
    } else if (chosen.attach && ownership == registry::ownership::granted) {
        m_out.send(from, wire::job_answer{message.submission, jobs::failed(verdict::may_have_run,
                                                                           refusal_reason::answer_expired)});
    } else if (chosen.reason) {
        m_out.send(from,
                   wire::job_answer{message.submission, jobs::refused(verdict::not_run, *chosen.reason)});
    }
}

void coordinator::attach_follower(jobs::submission& submission, const instance_id& follower)
{
    const jobs::waiter waiter(follower);
    if (submission.stage == jobs::stage::finished) {
        answer(waiter, submission, kept_outcome(submission));
    } else if (std::find(submission.waiters.begin(), submission.waiters.end(), waiter) ==
               submission.waiters.end()) {
        submission.waiters.push_back(waiter);
    }
}

void coordinator::receive(const instance_id& from, wire::job_answer& message, time_point now)
{
    jobs::submission* submission = m_submissions.find(message.submission);
    if (submission == nullptr || submission->stage != jobs::stage::following || submission->owner != from) {
        return;
    }
    const auto* refused = std::get_if<dispatch::job_refused>(&message.outcome);
    const bool other_body = refused != nullptr && refused->cause.reason == refusal_reason::id_reused;
    if (jobs::is_not_run(message.outcome) && !other_body) {
        claim_again(*submission, now);
        return;
    }
    finish(message.submission, std::move(message.outcome), now);
}

void coordinator::receive(const instance_id& /*from*/, dispatch::slot_demand& message, time_point now)
{
    execute(m_dispatcher->on_slot_demand(message, now), now);
}

void coordinator::receive(const instance_id& /*from*/, dispatch::slot_grant& message, time_point now)
{
    execute(m_dispatcher->on_slot_grant(message, now), now);
}

void coordinator::receive(const instance_id& from, membership::heartbeat& message, time_point now)
{
    execute(m_member.on_message(from, std::move(message), now), now);
}

void coordinator::receive(const instance_id& from, membership::view_offer& message, time_point now)
{
    execute(m_member.on_message(from, std::move(message), now), now);
}

template <class Message>
void coordinator::receive(const instance_id& from, Message& message, time_point now)
{
    if constexpr (std::is_constructible_v<registry::message, Message>) {
        m_registrar.on_message(from, std::move(message), now);
    }
}

void coordinator::on_evidence(const instance_id& peer, membership::evidence evidence, time_point now)
{
    execute(m_member.on_evidence(peer, evidence, now), now);
}

void coordinator::on_platform(const membership::platform_snapshot& snapshot, time_point now)
{
    execute(m_member.on_platform(snapshot, now), now);
}

void coordinator::on_swap(membership::swap_status status, membership::key_revision revision, time_point now)
{
    execute(m_member.on_swap(status, revision, now), now);
}

}  // namespace poplarshed::coordinator
