#include "dispatch/expected_finish.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace poplarshed::dispatch {

namespace {

/// Most retries and hedges that the budgets accumulate, in attempts.
constexpr double retry_burst = 50.0;
constexpr double hedge_burst = 10.0;
/// Exponential backoff with full jitter: bound of the first delay, doubled for each attempt up to the
/// greatest.
constexpr milliseconds first_retry_delay{10};
constexpr milliseconds max_retry_delay{200};
constexpr std::uint32_t max_delay_shift = 5;
/// Failures on healthy runners after which a task is taken to be faulty.
constexpr std::uint32_t faulty_task_failures = 2;
/// Quantile of a service's run times beyond which an attempt is hedged.
constexpr double hedge_quantile = 0.99;
/// Multiple of the mean run time that counts as a short run. Many tasks run shorter than the mean, so a task
/// is dropped only if even a short run would end after the deadline.
constexpr double short_run_factor = 0.5;
/// Share of the slots reported as idle by peers on which admission counts, since peers lend only part of
/// them.
constexpr double usable_idle_share = 0.7;
/// Time that a job waits behind smaller jobs, as a multiple of its ideal run time.
constexpr double small_job_wait_factor = 20.0;
/// Upper bound of that time, as a share of the time until the job's deadline.
constexpr double max_wait_share = 0.25;
/// Seconds by which each level of urgency moves a job forward in its queue. The lead is bounded, so that
/// urgent jobs cannot starve the others.
constexpr double urgency_step_seconds = 0.02;
constexpr std::uint32_t max_urgency = 9;
/// A job is small if its number of tasks is at most this share of the data centre's slots.
constexpr double small_job_share = 0.02;
/// Share of the slots of a service that is reserved for small jobs; only fast idle slots are reserved.
constexpr double reserved_share = 0.06;
/// Waiting tasks per slot at which nothing is reserved any more.
constexpr double reserve_queue_limit = 4.0;
/// A slot is fast if its expected run time is below this multiple of the mean of the service.
constexpr double fast_run_factor = 0.85;
/// Factor on the expected queueing time at admission: urgent and smaller jobs that arrive later delay an
/// admitted job.
constexpr double admission_margin = 1.5;
/// Tolerance for the random differences between the estimates of equally fast runners.
constexpr double estimate_tolerance = 1.1;
/// Shortest time between two demand messages while the demand lasts.
constexpr milliseconds demand_interval{20};
/// Longest time between two demand messages, with or without demand.
constexpr milliseconds report_interval{500};
/// Bounds of the Retry-After time in refusals.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{5000};

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

refusal refused(refusal_reason reason, std::optional<milliseconds> retry_after)
{
    return {.ran = verdict::not_run, .reason = reason, .retry_after = retry_after, .detail = {}};
}

}  // namespace

expected_finish::expected_finish(std::uint64_t seed, const policy_options& options)
    : m_sharing(make_slot_sharing(options.sharing)),
      m_runners(*m_sharing),
      m_ledger(m_runners),
      m_retries(options.retry_share, retry_burst),
      m_hedges(options.hedge_share, hedge_burst),
      m_random(seed)
{}

void expected_finish::on_bundle(time_point /*now*/)
{
    m_queue.configure(bundle().workspaces);
    for (const auto& [id, settings] : bundle().services) {
        m_services[id] = m_runners.intern(id);
        m_runners.configure(m_services[id], settings);
    }
}

std::vector<action> expected_finish::set_runners(const std::vector<runner>& runners, time_point now)
{
    m_runners.set_runners(runners, now);
    place_tasks(now);
    return take_actions();
}

std::vector<action> expected_finish::set_peers(std::size_t index, std::size_t count, time_point now)
{
    const peer_position new_position{.index = static_cast<std::uint32_t>(index),
                                     .count = static_cast<std::uint32_t>(std::max<std::size_t>(count, 1))};
    if (new_position != m_ledger.position()) {
        m_ledger.set_position(new_position);
        m_runners.set_position(new_position);
    }
    place_tasks(now);
    return take_actions();
}

std::optional<refusal> expected_finish::admit(const job_request& request, time_point now) const
{
    const service_index service = m_services.at(request.service);
    if (!m_runners.offered(service)) {
        return refused(refusal_reason::no_runners, max_retry_after);
    }
    if (!m_runners.fits(service)) {
        return refused(refusal_reason::impossible, std::nullopt);
    }
    const std::size_t quota = bundle().workspaces.at(request.workspace).max_tasks_in_flight;
    if (tasks_in_flight(request.workspace) + request.tasks.size() > quota) {
        const bool never = request.tasks.size() > quota;
        return refused(refusal_reason::quota_exceeded, never ? std::nullopt : std::optional(min_retry_after));
    }
    const workspace_entry* workspace = m_queue.find(request.workspace);
    return workspace == nullptr ? std::nullopt : check_deadline(request, service, *workspace, now);
}

double expected_finish::time_to_finish(std::size_t tasks, service_index service,
                                       const workspace_entry& workspace) const
{
    const double elsewhere = m_sharing->lends() ? usable_idle_share * m_ledger.idle_elsewhere() : 0.0;
    double slots = std::max(m_runners.capacity(service) + elsewhere, 1.0);
    const double part = m_queue.empty() ? 1.0 : m_queue.active_share(workspace);
    double work = static_cast<double>(tasks - 1) * m_runners.times(service).mean();
    for (const auto& [key, queue] : workspace.queues) {
        work += static_cast<double>(queue.waiting) * m_runners.times(queue.service).mean();
    }
    if (m_sharing->lends() && !m_queue.empty()) {
        const double everywhere = m_runners.total_slots(service);
        slots = std::max(slots * part, everywhere * m_ledger.expected_share(
                                                        m_queue, workspace.id,
                                                        static_cast<double>(tasks + workspace.waiting))) /
                part;
    }
    // The more tasks a job has, the longer its longest task is likely to run.
    const double tail_part = std::min(0.9, 1.0 - 1.0 / (static_cast<double>(tasks) + 1.0));
    const double tail =
        std::max(m_runners.times(service).quantile(tail_part), m_runners.times(service).mean());
    const double margin = m_queue.empty() ? 1.0 : admission_margin;
    return margin * work / (slots * part) + tail;
}

std::optional<refusal> expected_finish::check_deadline(const job_request& request, service_index service,
                                                       const workspace_entry& workspace, time_point now) const
{
    const double needed = time_to_finish(request.tasks.size(), service, workspace);
    const double remaining = seconds_of(request.deadline - now);
    if (needed <= remaining) {
        return std::nullopt;
    }
    const auto excess = std::chrono::ceil<milliseconds>(to_duration(needed - remaining));
    return refused(refusal_reason::deadline_unreachable,
                   std::clamp(excess, min_retry_after, max_retry_after));
}

void expected_finish::on_tasks_queued(job& parent_job, time_point now)
{
    if (parent_job.queue != nullptr) {
        m_queue.add(parent_job, 1);
        return;
    }
    const service_index service = m_services.at(parent_job.request.service);
    if (const auto declared = parent_job.request.tasks.front().declared_run_time) {
        m_runners.times(service).declare(seconds_of(*declared));
    }
    m_queue.assign_queue(parent_job, service, is_small(parent_job, service));
    parent_job.order = queue_order(parent_job, service, now);
    m_queue.add(parent_job, parent_job.tasks.size());
}

double expected_finish::queue_order(const job& parent_job, service_index service, time_point now) const
{
    // A large job may wait longer than a small one at the same stretch (response time over ideal time).
    const double slots = std::max(m_runners.total_slots(service), 1.0);
    const double ideal =
        m_runners.times(service).mean() * static_cast<double>(parent_job.tasks.size()) / slots;
    const double remaining = seconds_of(parent_job.request.deadline - now);
    const double wait = std::min(small_job_wait_factor * ideal, max_wait_share * remaining);
    const double lag = urgency_step_seconds * static_cast<double>(max_urgency - parent_job.settings.urgency);
    return seconds_of(now.time_since_epoch()) + wait + lag;
}

void expected_finish::on_job_end(job& parent_job, time_point /*now*/)
{
    m_queue.remove(parent_job);
}

void expected_finish::release(const attempt& ended, const attempt_result& result, time_point now)
{
    m_runners.attempt_ended(ended, ended.queue->service, result, now);
    m_queue.attempt_ended(*ended.queue, ended.expected_seconds, seconds_of(now - ended.started));
}

void expected_finish::on_attempt_end(const attempt& ended, const attempt_result& result, time_point now)
{
    const time_point busy_until = ended.started + to_duration(ended.expected_seconds);
    if (result.status == attempt_status::abandoned && busy_until > now) {
        // Closing the connection does not stop the task on the runner, so its slot stays occupied.
        m_abandoned.push({busy_until, ended});
        return;
    }
    if (ended.parent_job != nullptr && result.status == attempt_status::runner_failed) {
        task_state& task = ended.parent_job->tasks[ended.task];
        if (m_runners.healthy(ended.runner) && task.failed_on != ended.runner) {
            ++task.failures;
        }
    }
    release(ended, result, now);
}

std::optional<duration> expected_finish::retry_delay(const job& parent_job, const task_state& task,
                                                     time_point now)
{
    const auto bound =
        std::min(first_retry_delay * (1U << std::min(task.attempts, max_delay_shift)), max_retry_delay);
    const duration delay = to_duration(m_random.unit() * seconds_of(bound));
    const double run = short_run_factor * m_runners.times(parent_job.queue->service).mean();
    if (now + delay + to_duration(run) > parent_job.request.deadline || !m_retries.try_withdraw()) {
        return std::nullopt;
    }
    return delay;
}

bool expected_finish::is_faulty(const task_state& task) const
{
    return task.failures >= faulty_task_failures;
}

bool expected_finish::is_small(const job& parent_job, service_index service) const
{
    return static_cast<double>(parent_job.tasks.size()) <=
           std::max(small_job_share * m_runners.total_slots(service), 1.0);
}

double expected_finish::longest_acceptable_run(service_index service) const
{
    // A slow idle slot is used only if waiting in the queue for a faster slot would take longer.
    const auto busy = static_cast<double>(m_runners.in_flight());
    const double wait =
        static_cast<double>(m_queue.waiting()) * m_runners.mean_slot_time() / std::max(busy, 1.0);
    return estimate_tolerance * m_runners.times(service).mean() + wait;
}

slot_ledger::reserve expected_finish::small_job_reserve(service_index service) const
{
    // Slots are shared by all services, so a long queue of any service ends the reservation: a slot reserved
    // in one service would be taken by another one.
    const double slots = m_runners.capacity(service);
    const double pressure = static_cast<double>(m_queue.waiting()) / std::max(slots, 1.0);
    return {.slots = std::floor(reserved_share * slots * std::max(0.0, 1.0 - pressure / reserve_queue_limit)),
            .fast_seconds = fast_run_factor * m_runners.times(service).mean()};
}

std::optional<runner_index> expected_finish::choose_runner(const class_queue& queue) const
{
    const service_index service = queue.service;
    const job& first = *queue.jobs.begin()->second;
    const std::optional<runner_index> avoid =
        first.retry_tasks.empty() ? std::nullopt : first.tasks[first.retry_tasks.back()].failed_on;
    const auto reserve = queue.small ? slot_ledger::reserve{} : small_job_reserve(service);
    const auto chosen = m_runners.best_idle_unreserved(service, avoid, reserve.slots, reserve.fast_seconds);
    if (!chosen) {
        return std::nullopt;
    }
    const bool acceptable =
        m_runners.in_flight() == 0 || m_runners.estimate(*chosen, service) <= longest_acceptable_run(service);
    return acceptable || m_runners.state(*chosen) != runner_state::open ? chosen : std::nullopt;
}

bool expected_finish::is_ready(const class_queue& queue) const
{
    if (!m_runners.has_idle(queue.service)) {
        return false;
    }
    return m_sharing->two_random_choices() || choose_runner(queue).has_value();
}

bool expected_finish::cannot_meet_deadline(const job& parent_job, time_point now) const
{
    const service_index service = parent_job.queue->service;
    const double run = short_run_factor * m_runners.times(service).mean();
    const double rounds =
        static_cast<double>(parent_job.waiting()) / std::max(m_runners.total_slots(service), 1.0);
    return seconds_of(parent_job.request.deadline - now) < run * std::max(rounds, 1.0);
}

void expected_finish::place_tasks(time_point now)
{
    const auto ready = [this](const class_queue& queue) { return is_ready(queue); };
    lend_surplus();
    while (!m_queue.empty()) {
        const auto slots = static_cast<double>(m_runners.in_flight() + m_runners.idle_slots());
        class_queue* queue = m_queue.choose(ready, slots);
        if (queue == nullptr) {
            break;
        }
        job& first = *queue->jobs.begin()->second;
        if (cannot_meet_deadline(first, now)) {
            const bool started = first.started;
            fail(first, started ? refusal_reason::timed_out : refusal_reason::deadline_unreachable,
                 std::nullopt, now);
            continue;
        }
        start_next(*queue, now);
    }
    share_slots(now);
}

void expected_finish::start_next(class_queue& queue, time_point now)
{
    const service_index service = queue.service;
    const auto chosen =
        m_sharing->two_random_choices() ? m_runners.better_of_two(service, m_random) : choose_runner(queue);
    const double cost = m_runners.estimate(*chosen, service);
    const auto [parent_job, task] = m_queue.pop_task(queue, cost);
    if (parent_job->tasks[task].attempts == 0) {
        m_retries.deposit();
        m_hedges.deposit();
    }
    const attempt_id id = start(*parent_job, task, *chosen, m_runners.listed(*chosen).address, now, cost);
    m_runners.attempt_started(*chosen, now);
    if (parent_job->settings.hedge && parent_job->settings.idempotent) {
        m_hedge_candidates[service].push_back({id, now});
    }
}

bool expected_finish::start_hedge(const attempt& slow, service_index service, time_point now)
{
    job& parent_job = *slow.parent_job;
    const task_state& task = parent_job.tasks[slow.task];
    if (task.in_flight() != 1 || task.attempts >= parent_job.settings.attempts) {
        return true;
    }
    const std::string& rack = m_runners.listed(slow.runner).rack;
    const auto chosen = m_runners.best_idle(service, slow.runner, &rack);
    if (!chosen || m_queue.waiting(service) > 0 || !m_hedges.try_withdraw()) {
        return false;
    }
    const double cost = m_runners.estimate(*chosen, service);
    count(retry_reason::hedge, parent_job.request.service);
    start(parent_job, slow.task, *chosen, m_runners.listed(*chosen).address, now, cost);
    m_runners.attempt_started(*chosen, now);
    ++parent_job.queue->workspace->in_flight;
    return true;
}

void expected_finish::start_hedges(service_index service, std::deque<hedge_candidate>& candidates,
                                   time_point now)
{
    const double threshold = m_runners.times(service).quantile(hedge_quantile);
    while (threshold > 0.0 && !candidates.empty()) {
        const hedge_candidate& oldest = candidates.front();
        const attempt* slow = find_attempt(oldest.id);
        const bool running = slow != nullptr && slow->parent_job != nullptr;
        if (running && (seconds_of(now - oldest.started) < threshold || !start_hedge(*slow, service, now))) {
            return;
        }
        candidates.pop_front();
    }
}

void expected_finish::on_policy_timer(time_point now)
{
    m_runners.on_timer(now);
    while (!m_abandoned.empty() && m_abandoned.top().busy_until <= now) {
        const attempt ended = m_abandoned.top().ended;
        m_abandoned.pop();
        release(ended, {.attempt = {}, .status = attempt_status::abandoned, .body = {}}, now);
    }
    for (auto& [service, candidates] : m_hedge_candidates) {
        start_hedges(service, candidates, now);
    }
    if (!m_sharing->lends() || m_ledger.position().count < 2) {
        return;
    }
    m_ledger.on_timer(now);
    if (m_queue.empty() && m_ledger.has_borrowed()) {
        return_slots(false);
    }
    if (now - m_last_demand >= report_interval) {
        send_demand(now);
    }
}

std::vector<service_demand> expected_finish::unmet_demand() const
{
    std::vector<service_demand> wanted;
    if (m_queue.empty()) {
        return wanted;
    }
    for (const auto& [id, index] : m_services) {
        const std::size_t waiting = m_queue.waiting(index);
        if (waiting > 0) {
            const auto longest = std::chrono::ceil<milliseconds>(to_duration(longest_acceptable_run(index)));
            wanted.push_back({id, static_cast<std::uint32_t>(waiting), longest});
        }
    }
    return wanted;
}

void expected_finish::send_demand(time_point now)
{
    slot_demand message{.from = m_ledger.position().index,
                        .peers = m_ledger.position().count,
                        .wanted = unmet_demand(),
                        .idle = static_cast<std::uint32_t>(m_runners.idle_slots()),
                        .held = static_cast<std::uint32_t>(m_runners.held_slots()),
                        .workspaces = m_queue.demand()};
    m_demand_reported = !message.wanted.empty();
    m_last_demand = now;
    emit(send_slot_demand{std::move(message)});
}

void expected_finish::return_slots(bool only_if_wanted)
{
    for (auto& [lender, grant] : m_ledger.return_borrowed(only_if_wanted)) {
        emit(send_slot_grant{lender, std::move(grant)});
    }
}

void expected_finish::share_slots(time_point now)
{
    if (!m_sharing->lends() || m_ledger.position().count < 2) {
        return;
    }
    if (m_ledger.has_borrowed()) {
        return_slots(true);
    }
    const bool has_demand = !unmet_demand().empty();
    if (has_demand != m_demand_reported || (has_demand && now - m_last_demand >= demand_interval)) {
        send_demand(now);
    }
}

std::vector<action> expected_finish::on_slot_demand(const slot_demand& message, time_point now)
{
    if (!m_sharing->lends() || !m_ledger.is_current_view(message.from, message.peers)) {
        return {};
    }
    m_ledger.record_demand(message, now);
    m_ledger.update_targets(m_queue);
    for (const service_demand& demand : message.wanted) {
        const auto service = m_services.find(demand.service);
        if (service != m_services.end() && m_queue.waiting(service->second) == 0) {
            lend_to(message.from, m_ledger.lendable_part(message.from, demand));
        }
    }
    place_tasks(now);
    return take_actions();
}

void expected_finish::lend_to(std::uint32_t peer, const service_demand& demand)
{
    const auto service = m_services.find(demand.service);
    if (service == m_services.end()) {
        return;
    }
    slot_grant grant = m_ledger.lend(peer, service->second, demand, small_job_reserve(service->second));
    if (!grant.slots.empty()) {
        emit(send_slot_grant{peer, std::move(grant)});
    }
}

void expected_finish::lend_surplus()
{
    if (!m_sharing->lends() || m_queue.empty() || m_ledger.surplus() < 1.0 || m_runners.idle_slots() == 0) {
        return;
    }
    const auto to = m_ledger.most_underserved_peer();
    if (!to) {
        return;
    }
    const peer_entry& peer = m_ledger.peers().at(*to);
    const double deficit = std::min(peer.target - peer.held, m_ledger.surplus());
    const auto [service, wanted] = *peer.wanted.begin();
    lend_to(*to, {service, std::min(wanted, static_cast<std::uint32_t>(deficit)), {}});
}

std::vector<action> expected_finish::on_slot_grant(const slot_grant& message, time_point now)
{
    if (!m_sharing->lends() || !m_ledger.is_current_view(message.from, message.peers)) {
        return {};
    }
    slot_grant unknown = m_ledger.apply_grant(message, now);
    if (!message.returned && !unknown.slots.empty()) {
        emit(send_slot_grant{message.from, std::move(unknown)});
    }
    place_tasks(now);
    return take_actions();
}

}  // namespace poplarshed::dispatch
