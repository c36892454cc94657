#include "routing/router.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include "routing/pool_choice.h"

namespace poplarshed::routing {

namespace {

// A pool of another data centre is chosen only if it is expected to finish the job this much earlier: allows
// for the round trip and the age of its load figures.
constexpr milliseconds remote_cost{8};
// Retry hint to callers while no pool has a holder; a takeover takes about this long.
constexpr milliseconds takeover_retry_after{500};
// Number of returns after which a pool keeps a job.
constexpr std::uint32_t last_return = 2;
// A holder that has released a pool reports this in a status that may still be in transit.
constexpr milliseconds status_transit_time{100};
// A holder whose last status is older than three intervals may be unreachable; its pool gets an added cost,
// so that it is chosen only if there is no other.
constexpr int max_fresh_intervals = 3;
constexpr milliseconds stale_cost{1000};
// Before a lost job starts elsewhere, time for a cancel to take effect: a busy holder handles it within 50
// ms, the stop order to the worker may be sent twice (100 ms each), and the worker stops a run within 50 ms.
constexpr milliseconds cancel_time{300};
// A request of the order may be lost with a connection. Longer than the answer takes between data centres.
constexpr milliseconds order_retry_interval{30};

constexpr std::array<std::string_view, routing_decision_count> decision_names{
    "offered",     "offered_again",  "offered_elsewhere", "waits_for_lapse", "answered",
    "caller_left", "result_ignored", "given_back",        "order_requested", "superseded"};

// Kind and reason of an answer; completed jobs have no reason.
std::string answer_text(answer_kind kind, refusal_reason reason)
{
    constexpr std::array<std::string_view, answer_kind_count> names{"completed", "failed", "refused",
                                                                    "unknown_end"};
    std::string text(names.at(static_cast<std::size_t>(kind)));
    return kind == answer_kind::completed ? text : text + ": " + std::string(to_string(reason));
}

milliseconds elapsed(time_point now, time_point start)
{
    return std::chrono::duration_cast<milliseconds>(now - start);
}

milliseconds max_fresh_age(const workers::instance_status& status)
{
    return std::max(status.next_status_within, min_status_interval) * max_fresh_intervals;
}

std::uint32_t task_count(const std::vector<workers::job_step>& steps)
{
    std::uint32_t total = 0;
    for (const workers::job_step& step : steps) {
        total += step.tasks;
    }
    return total;
}

workers::job_demand demand_of(const std::vector<workers::job_step>& steps)
{
    workers::job_demand need;
    for (const workers::job_step& step : steps) {
        need.cpu += step.need.cpu_milli * step.tasks;
        need.cpu_ms += step.need.cpu_milli * step.tasks * step.estimate.count();
    }
    need.critical_path = workers::critical_path(steps);
    return need;
}

}  // namespace

bool is_routine(const routing_record& record)
{
    switch (record.decision) {
        case routing_decision::offered:
        case routing_decision::offered_elsewhere:
        case routing_decision::order_requested:
            return true;
        case routing_decision::answered:
            return record.detail == answer_text(answer_kind::completed, {});
        default:
            return false;
    }
}

std::string_view to_string(routing_decision value)
{
    return decision_names.at(static_cast<std::size_t>(value));
}

router::router(router_options options, const peer_table& peers, time_point started)
    : m_options(options),
      m_peers(peers),
      m_holder_expected_until(started + options.max_holder_absence),
      m_last_offer(options.offer_number_base)
{}

std::optional<caller_id> router::on_job(time_point now, caller_id caller, const route& target,
                                        caller_job received)
{
    const job_id id = received.job;
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        // The caller has sent the same job again on another connection; the previous one gets no answer.
        const caller_id previous = std::exchange(known->second.caller, caller);
        m_callers.erase(previous);
        m_callers.emplace(caller, id);
        return previous;
    }
    job pending_job;
    pending_job.caller = caller;
    pending_job.arrived = now;
    pending_job.deadline_at = now + received.time_limit;
    pending_job.offer.job = id;
    pending_job.offer.owner = m_peers.self();
    pending_job.offer.service = target.service;
    pending_job.offer.payload = std::move(received.payload);
    pending_job.offer.steps = std::move(received.steps);
    pending_job.offer.priority = target.priority;
    pending_job.offer.max_attempts = target.max_attempts;
    pending_job.offer.deadline = received.time_limit;
    const auto chain = static_cast<double>(workers::critical_path(pending_job.offer.steps).count());
    pending_job.offer.objective =
        milliseconds(static_cast<std::int64_t>(chain * target.stretch)) + target.allowance;
    m_callers.emplace(caller, id);
    m_jobs.emplace(id, std::move(pending_job));
    find_holder(now, id, routing_decision::offered);
    return std::nullopt;
}

void router::find_holder(time_point now, const job_id& id, routing_decision decision)
{
    job& pending_job = m_jobs.at(id);
    if (!may_offer(now)) {
        pending_job.holder = endpoint();
    } else if (!offer(now, pending_job, decision)) {
        wait_for_holder(now, id);
    }
}

workers::backlog router::expected_backlog(const endpoint& holder, const workers::pool_load& load) const
{
    workers::backlog queue{load.capacity_cpu, load.free_cpu, load.waiting_cpu_ms};
    const auto sent = m_sent_work.find(holder);
    if (sent != m_sent_work.end() && sent->second.contains(load.pool)) {
        const sent_work& extra = sent->second.at(load.pool);
        const std::int64_t placed = std::min(queue.free_cpu, extra.cpu);
        queue.free_cpu -= placed;
        queue.ahead_cpu_ms += extra.cpu > 0 ? extra.cpu_ms * (extra.cpu - placed) / extra.cpu : 0;
    }
    return queue;
}

std::optional<router::choice> router::choose(time_point now, const job& pending_job) const
{
    const workers::job_demand need = demand_of(pending_job.offer.steps);
    std::vector<pool_candidate> candidates;
    std::vector<choice> choices;
    m_peers.for_each_pool(
        now, pending_job.offer.service,
        [&](const workers::instance_status& status, const workers::pool_load& load) {
            const auto& returned = pending_job.returned_by;
            if (status.leaving || m_evacuated.contains(data_centre_of(load.pool)) ||
                std::find(returned.begin(), returned.end(), load.pool) != returned.end()) {
                return;
            }
            const workers::backlog queue = expected_backlog(status.address, load);
            const auto predicted = workers::expected_finish(queue, need);
            if (!predicted) {
                return;
            }
            const bool near = status.data_centre == m_peers.data_centre();
            const milliseconds age = m_peers.status_age(now, status.address).value_or(milliseconds(0));
            const milliseconds cost = *predicted + (near ? milliseconds(0) : remote_cost) +
                                      (age > max_fresh_age(status) ? stale_cost : milliseconds(0));
            candidates.push_back({load.pool, cost, queue.free_cpu});
            choices.push_back({load.pool, status.address, *predicted, age});
        });
    const auto chosen = choose_pool(candidates, pending_job.offer.job);
    return chosen ? std::optional(choices.at(*chosen)) : std::nullopt;
}

bool router::is_evacuated(time_point now, const service_id& service) const
{
    bool any = false;
    bool all = true;
    m_peers.for_each_pool(now, service, [&](const workers::instance_status&, const workers::pool_load& load) {
        any = true;
        all = all && m_evacuated.contains(data_centre_of(load.pool));
    });
    return any && all;
}

bool router::offer(time_point now, job& pending_job, routing_decision decision)
{
    auto chosen = choose(now, pending_job);
    if (!chosen && !pending_job.returned_by.empty()) {
        pending_job.returned_by.clear();
        pending_job.offer.returns = last_return;
        chosen = choose(now, pending_job);
    }
    const auto ordering = ordering_pool(now, pending_job);
    if (!chosen) {
        return false;
    }
    m_holder_expected_until = now + m_options.max_holder_absence;
    const bool admitted =
        !ordering || (pending_job.admitted && pending_job.ordering_holder == ordering->holder &&
                      pending_job.ordering_pool == ordering->pool);
    if (!admitted && (chosen->pool != ordering->pool || chosen->holder != ordering->holder)) {
        request_order(now, pending_job, *ordering, decision);
        return true;
    }
    send_offer(now, pending_job, *chosen, decision);
    return true;
}

std::optional<router::pool_at> router::ordering_pool(time_point now, const job& pending_job) const
{
    std::vector<pool_id> pools;
    std::vector<endpoint> holders;
    m_peers.for_each_expected_holder(
        now, pending_job.offer.service,
        [&](const workers::instance_status& status, const workers::pool_load& load) {
            if (status.orders_owners) {
                pools.push_back(load.pool);
                holders.push_back(status.address);
            }
        });
    const auto chosen = choose_ordering_pool(pools, pending_job.offer.job);
    return chosen ? std::optional(pool_at{pools.at(*chosen), holders.at(*chosen)}) : std::nullopt;
}

bool router::awaits_order(const job& pending_job)
{
    return !pending_job.holder.empty() && pending_job.offer.order == workers::owner_order::only;
}

void router::prepare_message(time_point now, job& pending_job, const pool_at& at)
{
    pending_job.holder = at.holder;
    pending_job.offer.pool = at.pool;
    pending_job.offer.age = elapsed(now, pending_job.arrived);
    pending_job.offer.number = workers::offer_number(++m_last_offer);
    if (pending_job.offer.attempt == workers::offer_number()) {
        pending_job.offer.attempt = pending_job.offer.number;
    }
    pending_job.offer.echoed_clock = m_peers.clock(pending_job.holder);
    pending_job.offered_at = now;
    record_grant(now, pending_job);
    pending_job.lost = false;
    pending_job.cancelled_at.reset();
}

void router::request_order(time_point now, job& pending_job, const pool_at& at, routing_decision decision)
{
    if (pending_job.ordering_holder != at.holder || pending_job.ordering_pool != at.pool) {
        release_order(pending_job, !pending_job.offered);
    }
    pending_job.admitted = false;
    pending_job.kept = false;
    pending_job.ordering_holder = at.holder;
    pending_job.ordering_pool = at.pool;
    pending_job.decision_after_order = decision;
    pending_job.offer.order = workers::owner_order::only;
    prepare_message(now, pending_job, at);
    send_order_request(now, pending_job);
    m_actions.emplace_back(routing_record{routing_decision::order_requested,
                                          pending_job.offer.job,
                                          at.holder,
                                          at.pool.value(),
                                          {},
                                          m_peers.status_age(now, at.holder).value_or(milliseconds(0)),
                                          pending_job.offer.number});
}

void router::send_order_request(time_point now, job& pending_job)
{
    pending_job.order_sent = now;
    pending_job.offer.age = elapsed(now, pending_job.arrived);
    pending_job.offer.echoed_clock = m_peers.clock(pending_job.holder);
    m_actions.emplace_back(send_to_holder{pending_job.holder, pending_job.offer});
}

void router::check_order(time_point now, const job_id& id)
{
    job& pending_job = m_jobs.at(id);
    const auto ordering = ordering_pool(now, pending_job);
    if (!ordering || ordering->holder != pending_job.holder || ordering->pool != pending_job.offer.pool) {
        m_actions.emplace_back(send_to_holder{pending_job.holder, cancel_of(pending_job)});
        find_holder(now, id, routing_decision::offered);
        return;
    }
    if (pending_job.kept) {
        if (may_offer(now)) {
            send_offer(now, pending_job, {pending_job.offer.pool, pending_job.holder, {}, {}},
                       pending_job.decision_after_order);
        }
        return;
    }
    if (now < pending_job.order_sent + order_retry_interval) {
        return;
    }
    if (may_still_start(now, pending_job)) {
        send_order_request(now, pending_job);
    } else {
        // Another instance may have had the job started.
        give_up(now, id, refusal_reason::timed_out);
    }
}

void router::release_order(const job& pending_job, bool nothing_runs)
{
    if (pending_job.admitted || awaits_order(pending_job)) {
        m_actions.emplace_back(send_to_holder{pending_job.ordering_holder,
                                              workers::job_cancel{pending_job.offer.job, m_peers.self(),
                                                                  pending_job.offer.attempt, nothing_runs}});
    }
}

void router::send_offer(time_point now, job& pending_job, const choice& chosen, routing_decision decision)
{
    const auto ordering = ordering_pool(now, pending_job);
    const bool orders = ordering && ordering->pool == chosen.pool && ordering->holder == chosen.holder;
    if (orders && pending_job.ordering_holder != chosen.holder) {
        release_order(pending_job, !pending_job.offered);
        pending_job.ordering_holder = chosen.holder;
    }
    if (orders) {
        pending_job.ordering_pool = chosen.pool;
    }
    pending_job.admitted = pending_job.admitted && !orders;
    pending_job.offered = true;
    pending_job.offer.order = orders ? workers::owner_order::here : workers::owner_order::elsewhere;
    prepare_message(now, pending_job, {chosen.pool, chosen.holder});
    const workers::job_demand need = demand_of(pending_job.offer.steps);
    sent_work& sent = m_sent_work[chosen.holder][chosen.pool];
    sent.cpu += need.cpu;
    sent.cpu_ms += need.cpu_ms;
    m_actions.emplace_back(send_to_holder{chosen.holder, pending_job.offer});
    m_actions.emplace_back(routing_record{decision, pending_job.offer.job, chosen.holder, chosen.pool.value(),
                                          chosen.predicted_finish, chosen.status_age,
                                          pending_job.offer.number, pending_job.offer.uncertain_tasks,
                                          pending_job.offer.uncertain_for});
}

bool router::holder_has_pool(time_point now, const job& pending_job) const
{
    endpoint holder;
    return m_peers.holder(now, pending_job.offer.pool, holder) != nullptr && holder == pending_job.holder;
}

void router::record_grant(time_point now, job& pending_job) const
{
    const milliseconds status_age = m_peers.status_age(now, pending_job.holder).value_or(milliseconds(0));
    pending_job.granted_at = std::max(pending_job.granted_at, now - status_age);
}

// A lost holder that is live again but no longer holds the pool must not be granted the job any longer,
// because the job is about to start elsewhere.
void router::add_offers_in_force(time_point now, const endpoint& to, workers::instance_status& status)
{
    status.echoed_clock = m_peers.clock(to);
    status.offers.clear();
    status.last_offer = workers::offer_number(m_last_offer);
    for (auto& [id, pending_job] : m_jobs) {
        if (pending_job.holder == to &&
            (!pending_job.lost || !m_peers.is_live(now, to) || holder_has_pool(now, pending_job))) {
            record_grant(now, pending_job);
            status.offers.push_back(pending_job.offer.number);
        }
        if (pending_job.ordering_holder == to && (pending_job.holder != to || awaits_order(pending_job))) {
            status.offers.push_back(pending_job.offer.attempt);
        }
    }
    std::sort(status.offers.begin(), status.offers.end());
}

void router::on_status(const endpoint& holder)
{
    m_sent_work.erase(holder);
}

// Requests may arrive while all instances restart, or while the only holder of a pool is being replaced.
// There is a new holder within a second, so such jobs wait for it. When there has been no holder for longer
// than max_holder_absence, requests are refused at once.
void router::wait_for_holder(time_point now, const job_id& id)
{
    job& pending_job = m_jobs.at(id);
    if (now < m_holder_expected_until && may_still_start(now, pending_job) &&
        !is_evacuated(now, pending_job.offer.service)) {
        pending_job.holder = endpoint();
        return;
    }
    end_unstarted(now, id);
}

bool router::may_still_start(time_point now, const job& pending_job)
{
    const milliseconds chain = workers::critical_path(pending_job.offer.steps);
    const time_point latest_start =
        pending_job.arrived + pending_job.offer.objective * workers::max_objective_multiple - chain;
    return now < std::min(latest_start, pending_job.deadline_at - chain);
}

void router::end_unstarted(time_point now, const job_id& id)
{
    if (m_jobs.at(id).offer.may_have_run) {
        give_up(now, id, refusal_reason::no_runners);
        return;
    }
    answer(now, id, answer_kind::refused, refusal_reason::no_runners, takeover_retry_after);
}

bool router::on_cancelled(time_point now, const job_id& id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return false;
    }
    give_up(now, id, refusal_reason::cancelled);
    return true;
}

std::optional<bool> router::has_done_tasks(const job_id& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? std::nullopt : std::optional(!found->second.offer.done_tasks.empty());
}

std::optional<caller_id> router::caller_of(const job_id& id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? std::nullopt : std::optional(found->second.caller);
}

void router::on_caller_left(time_point now, caller_id caller)
{
    const auto found = m_callers.find(caller);
    if (found == m_callers.end()) {
        return;
    }
    const job_id id = found->second;
    const job& pending_job = m_jobs.at(id);
    m_actions.emplace_back(routing_record{routing_decision::caller_left,
                                          id,
                                          pending_job.holder,
                                          {},
                                          elapsed(now, pending_job.arrived),
                                          {},
                                          {}});
    if (!pending_job.holder.empty()) {
        m_actions.emplace_back(send_to_holder{pending_job.holder, cancel_of(pending_job)});
    }
    release_order(pending_job, !pending_job.offered);
    m_jobs.erase(id);
    m_callers.erase(found);
}

void router::on_progress(const workers::job_progress& progress)
{
    const auto found = m_jobs.find(progress.job);
    if (found == m_jobs.end()) {
        return;
    }
    if (awaits_order(found->second) && progress.done_tasks.empty()) {
        found->second.kept = true;
    }
    auto& done = found->second.offer.done_tasks;
    done.insert(done.end(), progress.done_tasks.begin(), progress.done_tasks.end());
}

void router::on_result(time_point now, const endpoint& from, const workers::job_result& result)
{
    const auto found = m_jobs.find(result.job);
    if (found == m_jobs.end()) {
        return;
    }
    job& pending_job = found->second;
    if (result.end == workers::job_end::completed) {
        if (pending_job.holder != from && !pending_job.holder.empty()) {
            m_actions.emplace_back(send_to_holder{pending_job.holder, cancel_of(pending_job)});
        }
        answer(now, result.job, answer_kind::completed, result.reason, {});
        return;
    }
    const bool ordered = result.end == workers::job_end::gave_up && from == pending_job.ordering_holder &&
                         result.number == pending_job.offer.attempt;
    if (ordered && (pending_job.holder != from || pending_job.offer.number != result.number)) {
        m_actions.emplace_back(routing_record{routing_decision::superseded,
                                              result.job,
                                              from,
                                              "sent again through another instance",
                                              elapsed(now, pending_job.arrived),
                                              {},
                                              result.number});
        give_up(now, result.job, result.reason);
        return;
    }
    // A delayed result may belong to an earlier offer of the job, even to the same holder. An earlier release
    // sends neither offer numbers nor its clock.
    const bool numbered = result.number != workers::offer_number() || m_peers.clock(from).count() > 0;
    if (pending_job.holder != from || (numbered && pending_job.offer.number != result.number)) {
        m_actions.emplace_back(routing_record{routing_decision::result_ignored,
                                              result.job,
                                              from,
                                              std::string(to_string(result.end)),
                                              elapsed(now, pending_job.arrived),
                                              {},
                                              result.number});
        return;
    }
    switch (result.end) {
        case workers::job_end::failed:
            answer(now, result.job, answer_kind::failed, result.reason, {});
            break;
        case workers::job_end::refused:
            if (pending_job.offer.may_have_run) {
                give_up(now, result.job, result.reason);
            } else {
                answer(now, result.job, answer_kind::refused, result.reason, result.retry_after);
            }
            break;
        case workers::job_end::returned:
            on_returned(now, result);
            break;
        case workers::job_end::not_held:
            on_not_held(now, result);
            break;
        case workers::job_end::gave_up:
        case workers::job_end::completed:
            give_up(now, result.job, result.reason);
            break;
    }
}

void router::on_returned(time_point now, const workers::job_result& result)
{
    job& pending_job = m_jobs.at(result.job);
    const bool was_order = awaits_order(pending_job);
    pending_job.admitted = pending_job.admitted || pending_job.offer.order != workers::owner_order::elsewhere;
    if (was_order) {
        pending_job.holder = endpoint();
        find_holder(now, result.job, pending_job.decision_after_order);
        return;
    }
    ++pending_job.offer.returns;
    pending_job.returned_by.push_back(pending_job.offer.pool);
    if (!may_offer(now)) {
        pending_job.holder = endpoint();
    } else if (!offer(now, pending_job, routing_decision::offered_elsewhere)) {
        end_unstarted(now, result.job);
    }
}

void router::on_not_held(time_point now, const workers::job_result& result)
{
    job& pending_job = m_jobs.at(result.job);
    m_actions.emplace_back(routing_record{routing_decision::given_back,
                                          result.job,
                                          result.holder,
                                          result.may_have_run ? "may have run" : "nothing was started",
                                          elapsed(now, pending_job.arrived),
                                          {},
                                          result.number,
                                          result.uncertain_tasks});
    if (awaits_order(pending_job)) {
        if (!result.may_have_run) {
            return;  // the request is repeated, until the statuses show where the pool is
        }
        // Runs of a former owner may go on there.
        pending_job.offer.order = workers::owner_order::here;
        pending_job.offered = true;
    }
    if (!result.may_have_run && !pending_job.offer.may_have_run) {
        pending_job.returned_by.clear();
        find_holder(now, result.job, routing_decision::offered_elsewhere);
        return;
    }
    pending_job.lost = true;
    pending_job.lost_at = now;
    pending_job.runs_reported = true;
    if (result.may_have_run) {
        add_possible_runs(pending_job, result.uncertain_tasks);
    }
    check_holder(now, result.job);
}

void router::add_possible_runs(job& pending_job, const std::vector<std::uint32_t>& tasks) const
{
    const time_point ended_by = pending_job.granted_at + m_options.lost_holder_timeout;
    for (const std::uint32_t number : tasks) {
        time_point& known = pending_job.possible_runs[number];
        known = std::max(known, ended_by);
    }
}

void router::prepare_reoffer(time_point now, job& pending_job) const
{
    pending_job.offer.may_have_run = true;
    if (!std::exchange(pending_job.runs_reported, false)) {
        std::vector<std::uint32_t> all_tasks(task_count(pending_job.offer.steps));
        std::iota(all_tasks.begin(), all_tasks.end(), 0U);
        add_possible_runs(pending_job, all_tasks);
    }
    const auto& done = pending_job.offer.done_tasks;
    std::erase_if(pending_job.possible_runs, [now, &done](const auto& run) {
        return run.second <= now || std::find(done.begin(), done.end(), run.first) != done.end();
    });
    pending_job.offer.uncertain_tasks.clear();
    pending_job.offer.uncertain_for = milliseconds(0);
    for (const auto& [number, ended_by] : pending_job.possible_runs) {
        pending_job.offer.uncertain_tasks.push_back(number);
        pending_job.offer.uncertain_for =
            std::max(pending_job.offer.uncertain_for, std::chrono::ceil<milliseconds>(ended_by - now));
    }
}

void router::give_up(time_point now, const job_id& id, refusal_reason reason)
{
    const job& pending_job = m_jobs.at(id);
    if (!pending_job.holder.empty()) {
        m_actions.emplace_back(send_to_holder{pending_job.holder, cancel_of(pending_job)});
    }
    answer(now, id, answer_kind::unknown_end, reason, {});
}

workers::job_cancel router::cancel_of(const job& pending_job) const
{
    return {pending_job.offer.job, m_peers.self(), pending_job.offer.number};
}

void router::answer(time_point now, const job_id& id, answer_kind kind, refusal_reason reason,
                    milliseconds retry_after)
{
    const auto found = m_jobs.find(id);
    const milliseconds waited = elapsed(now, found->second.arrived);
    const job& ended = found->second;
    release_order(ended, !ended.offered || kind == answer_kind::refused ||
                             (kind == answer_kind::completed && !ended.offer.may_have_run));
    m_actions.emplace_back(answer_caller{found->second.caller, id, kind, reason, retry_after,
                                         found->second.offer.service, waited});
    m_actions.emplace_back(routing_record{
        routing_decision::answered, id, found->second.holder, answer_text(kind, reason), waited, {}, {}});
    m_callers.erase(found->second.caller);
    m_jobs.erase(found);
}

// A new holder of the same pool reads the running tasks from the workers, so the job can continue there at
// once. In another pool it may start only when none of its tasks can run in the former pool any more.
void router::check_holder(time_point now, const job_id& id)
{
    if (!may_offer(now)) {
        return;
    }
    job& pending_job = m_jobs.at(id);
    endpoint holder;
    const workers::pool_load* load = m_peers.holder(now, pending_job.offer.pool, holder);
    const bool reaches_workers = load != nullptr && load->capacity_cpu > 0;
    if (reaches_workers && holder != pending_job.holder) {
        if (!pending_job.lost) {
            pending_job.lost_at = now - m_peers.status_age(now, pending_job.holder).value_or(milliseconds(0));
        }
        prepare_reoffer(now, pending_job);
        send_offer(
            now, pending_job,
            {pending_job.offer.pool, holder, {}, m_peers.status_age(now, holder).value_or(milliseconds(0))},
            routing_decision::offered_again);
        return;
    }
    if (load != nullptr && holder == pending_job.holder) {
        // Reachable again after a loss: the holder may have dropped the job, or its result may have been
        // lost.
        if (pending_job.lost && now >= pending_job.lost_at + status_transit_time) {
            prepare_reoffer(now, pending_job);
            send_offer(now, pending_job,
                       {pending_job.offer.pool,
                        holder,
                        {},
                        m_peers.status_age(now, holder).value_or(milliseconds(0))},
                       routing_decision::offered_again);
        }
        return;
    }
    if (!pending_job.lost) {
        const auto status_age = m_peers.status_age(now, pending_job.holder);
        pending_job.lost = true;
        pending_job.lost_at = now - status_age.value_or(milliseconds(0));
        m_actions.emplace_back(routing_record{routing_decision::waits_for_lapse,
                                              id,
                                              pending_job.holder,
                                              {},
                                              elapsed(now, pending_job.arrived),
                                              status_age.value_or(milliseconds(0)),
                                              pending_job.offer.number});
    }
    // A holder whose statuses do not arrive may still receive messages of this instance, and then continues
    // the job unless it is cancelled. Its tasks must be stopped before they start elsewhere.
    if (!pending_job.cancelled_at &&
        now >= pending_job.granted_at + m_options.lost_holder_timeout - cancel_time) {
        pending_job.cancelled_at = now;
        m_actions.emplace_back(send_to_holder{pending_job.holder, cancel_of(pending_job)});
    }
    if (!pending_job.cancelled_at || now < *pending_job.cancelled_at + cancel_time) {
        return;
    }
    prepare_reoffer(now, pending_job);
    if (!offer(now, pending_job, routing_decision::offered_elsewhere)) {
        give_up(now, id, refusal_reason::owner_lost);
    }
}

// A paused process reads requests as soon as it wakes up, and the end of their connections some milliseconds
// later. The callers may have sent the jobs again elsewhere, so they would run twice.
void router::on_pause(time_point now)
{
    m_no_offers_until = now + m_options.offer_delay_after_pause;
    for (auto& [id, pending_job] : m_jobs) {
        pending_job.admitted = false;
        if (!pending_job.holder.empty() && !pending_job.lost && !awaits_order(pending_job)) {
            pending_job.lost = true;
            pending_job.lost_at = now;
        }
    }
}

void router::on_tick(time_point now)
{
    std::vector<job_id> ids;
    ids.reserve(m_jobs.size());
    for (const auto& [id, pending_job] : m_jobs) {
        ids.push_back(id);
    }
    for (const job_id& id : ids) {
        if (now >= m_jobs.at(id).deadline_at) {
            give_up(now, id, refusal_reason::timed_out);
            continue;
        }
        if (m_jobs.at(id).holder.empty()) {
            find_holder(now, id, routing_decision::offered);
        } else if (awaits_order(m_jobs.at(id))) {
            check_order(now, id);
        } else {
            check_holder(now, id);
        }
    }
}

void router::add_holders(std::set<endpoint>& holders) const
{
    for (const auto& [id, pending_job] : m_jobs) {
        if (!pending_job.holder.empty()) {
            holders.insert(pending_job.holder);
        }
    }
}

std::vector<routing_action> router::take_actions()
{
    return std::exchange(m_actions, {});
}

}  // namespace poplarshed::routing
