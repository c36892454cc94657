#include "coordinator/coordinator.h"

#include <utility>

namespace poplarshed::coordinator {

namespace {

// Deadline of a job without a time limit whose service is not configured.
constexpr milliseconds fallback_deadline{30'000};
// Interval at which followed jobs are checked for their deadline and for repeated requests.
constexpr milliseconds follow_check_interval{20};
// Retry delay sent with a refusal while the instance is overloaded or not ready.
constexpr milliseconds overload_retry_delay{250};
// A larger answer, together with its headers, exceeds the frame size; the follower gets answer_expired with
// the verdict `ran` instead.
constexpr std::size_t max_followed_answer_bytes = std::size_t{7} * 1024 * 1024;

jobs::shared_outcome share(dispatch::job_outcome outcome)
{
    return std::make_shared<const dispatch::job_outcome>(std::move(outcome));
}

}  // namespace

coordinator::coordinator(options settings, outbox& out)
    : m_options(std::move(settings)),
      m_out(out),
      m_dispatcher(dispatch::make_dispatcher(m_options.policy, m_options.seed)),
      m_submissions(m_options.replay),
      m_member({m_options.self, m_options.data_centre}, m_options.membership,
               random_source(m_options.seed + 1)),
      m_registrar(m_options.self, m_options.data_centre, m_options.registry,
                  random_source(m_options.seed + 2))
{}

configuration_version coordinator::version() const
{
    return m_bundle ? m_bundle->version : configuration_version();
}

view_epoch coordinator::epoch() const
{
    const membership::view* view = m_member.find_view(m_options.data_centre);
    return view == nullptr ? view_epoch() : view->epoch;
}

bool coordinator::is_first_member() const
{
    return m_member.is_member() && !m_local_peers.empty() && m_local_peers.front() == m_options.self;
}

bool coordinator::ready() const
{
    return m_bundle.has_value() && !m_draining && m_member.find_view(m_options.data_centre) != nullptr;
}

void coordinator::submit(jobs::caller_id caller, jobs::job_submission job, time_point now)
{
    if (jobs::submission* existing = m_submissions.find(job.submission)) {
        attach(*existing, caller, job);
        return;
    }
    const time_point deadline = deadline_of(job, now);
    jobs::submission& submission = m_submissions.add(std::move(job), now, deadline);
    submission.waiters.emplace_back(caller);
    claim(submission, now);
}

void coordinator::attach(jobs::submission& submission, jobs::caller_id caller,
                         const jobs::job_submission& job)
{
    if (submission.job.body != job.body) {
        m_out.reply(caller, submission, share(jobs::refused(verdict::not_run, refusal_reason::id_reused)));
        return;
    }
    if (submission.stage != jobs::stage::finished) {
        submission.waiters.emplace_back(caller);
        return;
    }
    m_out.reply(caller, submission, kept_outcome(submission));
}

const configuration::service* coordinator::find_service(const service_id& id) const
{
    if (!m_bundle) {
        return nullptr;
    }
    const auto found = m_bundle->services.find(id);
    return found == m_bundle->services.end() ? nullptr : &found->second;
}

time_point coordinator::deadline_of(const jobs::job_submission& job, time_point now) const
{
    if (job.time_limit) {
        return now + *job.time_limit;
    }
    const configuration::service* service = find_service(job.service);
    return now + (service == nullptr ? fallback_deadline : service->deadline);
}

// Jobs are refused for load, drain or configuration only after the claim is granted: only then is it certain
// that no earlier submission of the id ran elsewhere, so that the verdict not_run is correct.
void coordinator::claim(jobs::submission& submission, time_point now)
{
    submission.stage = jobs::stage::claiming;
    const configuration::service* service = find_service(submission.job.service);
    const bool idempotent = service != nullptr && service->idempotent;
    registry::claim_request request{submission.job.submission, submission.job.body, submission.deadline};
    request.rerun_if_owner_lost =
        idempotent && service->on_owner_lost == configuration::owner_lost_policy::rerun;
    request.run_if_ambiguous = idempotent && service->on_ambiguous == configuration::ambiguous_policy::run;
    request.first_submission = submission.job.first_send;
    m_registrar.begin_claim(request, now);
}

std::optional<refusal> coordinator::local_refusal(const jobs::submission& submission, time_point now) const
{
    const auto refuse = [](refusal_reason reason, std::optional<milliseconds> retry_after = {}) {
        return refusal{verdict::not_run, reason, retry_after, {}};
    };
    if (m_draining) {
        return refuse(refusal_reason::draining, milliseconds(0));
    }
    if (!m_bundle) {
        return refuse(refusal_reason::not_ready, overload_retry_delay);
    }
    if (find_service(submission.job.service) == nullptr) {
        return refuse(refusal_reason::unknown_service);
    }
    const auto workspace = m_bundle->workspaces.find(submission.job.workspace);
    if (workspace == m_bundle->workspaces.end()) {
        return refuse(refusal_reason::unknown_team);
    }
    if (!workspace->second.services.contains(submission.job.service)) {
        return refuse(refusal_reason::team_not_allowed);
    }
    if (submission.deadline <= now) {
        return refuse(refusal_reason::deadline_passed);
    }
    if (m_running.size() >= m_options.max_jobs) {
        return refuse(refusal_reason::overloaded, overload_retry_delay);
    }
    return std::nullopt;
}

void coordinator::run(jobs::submission& submission, time_point now)
{
    const submission_id id = submission.job.submission;
    if (auto cause = local_refusal(submission, now)) {
        end_own(id, dispatch::job_refused{std::move(*cause)}, now);
        return;
    }
    submission.stage = jobs::stage::running;
    submission.key = job_key(++m_last_key);
    m_running.emplace(submission.key, id);
    dispatch::job_request request{submission.key,
                                  id,
                                  submission.job.service,
                                  submission.job.workspace,
                                  submission.arrival,
                                  submission.deadline,
                                  std::move(submission.job.tasks)};
    execute(m_dispatcher->submit(std::move(request), now), now);
}

bool coordinator::cancel(const submission_id& id, const workspace_id& workspace, time_point now)
{
    jobs::submission* submission = m_submissions.find(id);
    if (submission == nullptr || submission->stage != jobs::stage::running ||
        submission->job.workspace != workspace) {
        return false;
    }
    execute(m_dispatcher->cancel(submission->key, refusal_reason::cancelled, now), now);
    return true;
}

void coordinator::on_result(dispatch::attempt_result result, time_point now)
{
    execute(m_dispatcher->on_result(std::move(result), now), now);
}

void coordinator::apply(const configuration::bundle& bundle, time_point now)
{
    m_bundle = bundle;
    m_dispatcher->apply(bundle, now);
}

void coordinator::set_runners(const std::vector<dispatch::runner>& runners, time_point now)
{
    execute(m_dispatcher->set_runners(runners, now), now);
}

void coordinator::set_platform_reachable(bool reachable)
{
    m_registrar.set_platform_reachable(reachable);
}

void coordinator::drain(time_point now)
{
    m_draining = true;
    execute(m_member.leave(now), now);
}

void coordinator::end_unfinished_jobs(time_point now)
{
    const auto running = m_running;
    for (const auto& [key, id] : running) {
        execute(m_dispatcher->cancel(key, refusal_reason::drain_limit, now), now);
    }
    std::vector<submission_id> not_running;
    const auto collect = [&](const jobs::submission& submission) {
        not_running.push_back(submission.job.submission);
    };
    m_submissions.for_each(jobs::stage::claiming, collect);
    m_submissions.for_each(jobs::stage::following, collect);
    for (const submission_id& id : not_running) {
        m_registrar.release(id, now);
        finish(id, jobs::refused(verdict::may_have_run, refusal_reason::drain_limit), now);
    }
}

void coordinator::on_timer(time_point now)
{
    execute(m_dispatcher->on_timer(now), now);
    m_member.set_load(version(), static_cast<std::uint32_t>(m_running.size()));
    execute(m_member.on_timer(now), now);
    m_registrar.on_timer(now);
    if (now >= m_next_follow_check) {
        m_next_follow_check = now + follow_check_interval;
        check_followed(now);
    }
    m_submissions.expire(now);
}

void coordinator::flush(time_point now)
{
    // An action may queue further ones, for example the release of a claim whose job was refused.
    for (auto actions = m_registrar.take_actions(now); !actions.empty();
         actions = m_registrar.take_actions(now)) {
        for (registry::action& action : actions) {
            std::visit([this, now](auto& alternative) { execute(alternative, now); }, action);
        }
    }
}

void coordinator::end_own(const submission_id& id, dispatch::job_outcome outcome, time_point now)
{
    if (jobs::is_not_run(outcome)) {
        // Nothing was started under this claim; releasing it lets a resubmission run.
        m_registrar.release(id, now);
        if (const jobs::submission* submission = m_submissions.find(id);
            submission != nullptr && submission->may_have_run_before) {
            jobs::set_verdict(outcome, verdict::may_have_run);
        }
    }
    finish(id, std::move(outcome), now);
}

void coordinator::finish(const submission_id& id, dispatch::job_outcome outcome, time_point now)
{
    jobs::submission* submission = m_submissions.find(id);
    if (submission == nullptr) {
        return;
    }
    // A refusal is not retained: the registrars decide again on a resubmission.
    const bool keep = !std::holds_alternative<dispatch::job_refused>(outcome) && !jobs::is_not_run(outcome);
    const jobs::shared_outcome shared = share(std::move(outcome));
    const std::vector<jobs::waiter> waiters = std::move(submission->waiters);
    submission->waiters.clear();
    for (const jobs::waiter& waiter : waiters) {
        answer(waiter, *submission, shared);
    }
    if (keep) {
        m_submissions.finish(*submission, shared, now);
    } else {
        m_submissions.erase(id);
    }
}

jobs::shared_outcome coordinator::kept_outcome(const jobs::submission& submission)
{
    return submission.outcome ? submission.outcome : share(*submission.eviction_answer);
}

void coordinator::answer(const jobs::waiter& waiter, const jobs::submission& submission,
                         const jobs::shared_outcome& outcome)
{
    if (const auto* caller = std::get_if<jobs::caller_id>(&waiter)) {
        m_out.reply(*caller, submission, outcome);
    } else {
        const bool fits = jobs::outcome_bytes(*outcome) <= max_followed_answer_bytes;
        m_out.send(
            std::get<instance_id>(waiter),
            wire::job_answer{submission.job.submission,
                             fits ? *outcome : jobs::failed(verdict::ran, refusal_reason::answer_expired)});
    }
}

}  // namespace poplarshed::coordinator
