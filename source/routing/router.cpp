#include "routing/router.h"

#include <algorithm>
#include <array>
#include <utility>

namespace poplarshed::routing {

namespace {

// A pool elsewhere must end a job sooner by this much: the way there and back, and the age of its figures.
constexpr milliseconds remote_cost{8};
// Hint to callers while no pool has a holder; a takeover takes about this long.
constexpr milliseconds takeover_retry_after{500};
constexpr std::uint32_t last_return = 2;
// A holder that has given a pool up says so in a status that may still be on its way.
constexpr milliseconds settling_time{100};
// A holder whose status is older than three intervals may be cut off; its pool is chosen only where no other
// is.
constexpr int fresh_intervals = 3;
constexpr milliseconds stale_cost{1000};
// Time for a cancel to reach the holder (a busy one handles it within 50 ms), for an order to stop that is
// sent twice (100 ms each), and for the worker to stop a run (50 ms).
constexpr milliseconds cancel_lead{300};

constexpr std::array<std::string_view, routing_decision_count> decision_names{
    "offered",  "offered_again", "offered_elsewhere", "waits_for_lapse",
    "answered", "caller_left",   "result_ignored"};

// Completed jobs have no reason.
std::string answer_text(answer_kind kind, refusal_reason reason)
{
    constexpr std::array<std::string_view, answer_kind_count> names{"completed", "failed", "refused",
                                                                    "unknown_end"};
    std::string text(names.at(static_cast<std::size_t>(kind)));
    return kind == answer_kind::completed ? text : text + ": " + std::string(to_string(reason));
}

milliseconds since(time_point now, time_point then)
{
    return std::chrono::duration_cast<milliseconds>(now - then);
}

milliseconds fresh_status(const workers::instance_status& status)
{
    return std::max(status.next, min_status_interval) * fresh_intervals;
}

workers::job_demand demand_of(const std::vector<workers::job_step>& steps)
{
    workers::job_demand need;
    for (const workers::job_step& step : steps) {
        need.cpu += step.need.cpu_milli * step.tasks;
        need.cpu_ms += step.need.cpu_milli * step.tasks * step.estimate.count();
    }
    need.chain = workers::longest_chain(steps);
    return need;
}

}  // namespace

bool is_routine(const routing_record& record)
{
    switch (record.decision) {
        case routing_decision::offered:
        case routing_decision::offered_elsewhere:
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
                                        caller_job sent)
{
    const job_id id = sent.job;
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        // The caller has opened another connection for the same job; the former one gets no answer.
        const caller_id former = std::exchange(known->second.caller, caller);
        m_callers.erase(former);
        m_callers.emplace(caller, id);
        return former;
    }
    job item;
    item.caller = caller;
    item.arrived = now;
    item.deadline_at = now + sent.time_limit;
    item.offer.job = id;
    item.offer.owner = m_peers.self();
    item.offer.service = target.service;
    item.offer.payload = std::move(sent.payload);
    item.offer.steps = std::move(sent.steps);
    item.offer.priority = target.priority;
    item.offer.max_attempts = target.max_attempts;
    item.offer.deadline = sent.time_limit;
    const auto chain = static_cast<double>(workers::longest_chain(item.offer.steps).count());
    item.offer.objective = milliseconds(static_cast<std::int64_t>(chain * target.stretch)) + target.allowance;
    m_callers.emplace(caller, id);
    job& kept = m_jobs.emplace(id, std::move(item)).first->second;
    if (!offer(now, kept, routing_decision::offered)) {
        wait_for_holder(now, id);
    }
    return std::nullopt;
}

std::optional<router::choice> router::choose(time_point now, const job& item) const
{
    const workers::job_demand need = demand_of(item.offer.steps);
    std::optional<choice> best;
    milliseconds best_cost{};
    m_peers.for_each_pool(
        now, item.offer.service, [&](const workers::instance_status& status, const workers::pool_load& load) {
            const auto& returned = item.returned_by;
            if (status.leaving || std::find(returned.begin(), returned.end(), load.pool) != returned.end()) {
                return;
            }
            workers::backlog queue{load.capacity_cpu, load.free_cpu, load.waiting_cpu_ms};
            const auto sent = m_sent.find(status.address);
            if (sent != m_sent.end() && sent->second.contains(load.pool)) {
                const sent_work& extra = sent->second.at(load.pool);
                const std::int64_t placed = std::min(queue.free_cpu, extra.cpu);
                queue.free_cpu -= placed;
                queue.ahead_cpu_ms += extra.cpu > 0 ? extra.cpu_ms * (extra.cpu - placed) / extra.cpu : 0;
            }
            const auto predicted = workers::expected_finish(queue, need);
            if (!predicted) {
                return;
            }
            const bool near = status.data_centre == m_peers.data_centre();
            const milliseconds age = m_peers.status_age(now, status.address).value_or(milliseconds(0));
            const milliseconds cost = *predicted + (near ? milliseconds(0) : remote_cost) +
                                      (age > fresh_status(status) ? stale_cost : milliseconds(0));
            if (!best || cost < best_cost) {
                best = choice{load.pool, status.address, *predicted, age};
                best_cost = cost;
            }
        });
    return best;
}

bool router::offer(time_point now, job& item, routing_decision what)
{
    auto chosen = choose(now, item);
    if (!chosen && !item.returned_by.empty()) {
        item.returned_by.clear();
        item.offer.returns = last_return;
        chosen = choose(now, item);
    }
    if (!chosen) {
        return false;
    }
    m_holder_expected_until = now + m_options.max_holder_absence;
    send_offer(now, item, *chosen, what);
    return true;
}

void router::send_offer(time_point now, job& item, const choice& chosen, routing_decision what)
{
    item.holder = chosen.holder;
    item.offer.pool = chosen.pool;
    item.offer.age = since(now, item.arrived);
    item.offer.number = workers::offer_number(++m_last_offer);
    item.offer.echo = m_peers.clock(item.holder);
    item.offered_at = now;
    note_grant(now, item);
    item.lost = false;
    item.cancelled_at.reset();
    const workers::job_demand need = demand_of(item.offer.steps);
    sent_work& sent = m_sent[chosen.holder][chosen.pool];
    sent.cpu += need.cpu;
    sent.cpu_ms += need.cpu_ms;
    m_actions.emplace_back(send_to_holder{chosen.holder, item.offer});
    m_actions.emplace_back(routing_record{what, item.offer.job, chosen.holder, chosen.pool.value(),
                                          chosen.predicted_finish, chosen.status_age, item.offer.number});
}

bool router::holds_pool(time_point now, const job& item) const
{
    endpoint holder;
    return m_peers.holder(now, item.offer.pool, holder) != nullptr && holder == item.holder;
}

void router::note_grant(time_point now, job& item) const
{
    const milliseconds status_age = m_peers.status_age(now, item.holder).value_or(milliseconds(0));
    item.granted_at = std::max(item.granted_at, now - status_age);
}

// A lost holder that is heard again without the pool must not keep the job: it is about to start elsewhere.
void router::add_offers_in_force(time_point now, const endpoint& to, workers::instance_status& status)
{
    status.echo = m_peers.clock(to);
    status.offers.clear();
    status.last_offer = workers::offer_number(m_last_offer);
    for (auto& [id, item] : m_jobs) {
        if (item.holder == to && (!item.lost || !m_peers.is_live(now, to) || holds_pool(now, item))) {
            note_grant(now, item);
            status.offers.push_back(item.offer.number);
        }
    }
    std::sort(status.offers.begin(), status.offers.end());
}

void router::on_status(const endpoint& holder)
{
    m_sent.erase(holder);
}

// Load pattern: requests arrive while all instances restart, or while the only holder is being replaced. A
// holder is there within a second; without a sign of one for longer, requests are refused at once.
void router::wait_for_holder(time_point now, const job_id& id)
{
    job& item = m_jobs.at(id);
    const milliseconds chain = workers::longest_chain(item.offer.steps);
    const time_point useful = item.arrived + item.offer.objective * workers::late_multiple - chain;
    if (now < std::min({m_holder_expected_until, useful, item.deadline_at - chain})) {
        item.holder = endpoint();
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

void router::on_caller_left(time_point now, caller_id caller)
{
    const auto found = m_callers.find(caller);
    if (found == m_callers.end()) {
        return;
    }
    const job_id id = found->second;
    const job& item = m_jobs.at(id);
    m_actions.emplace_back(
        routing_record{routing_decision::caller_left, id, item.holder, {}, since(now, item.arrived), {}, {}});
    if (!item.holder.empty()) {
        m_actions.emplace_back(send_to_holder{item.holder, cancel_of(item)});
    }
    m_jobs.erase(id);
    m_callers.erase(found);
}

void router::on_progress(const workers::job_progress& progress)
{
    const auto found = m_jobs.find(progress.job);
    if (found == m_jobs.end()) {
        return;
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
    job& item = found->second;
    if (result.end == workers::job_end::completed) {
        if (item.holder != from && !item.holder.empty()) {
            m_actions.emplace_back(send_to_holder{item.holder, cancel_of(item)});
        }
        answer(now, result.job, answer_kind::completed, result.reason, {});
        return;
    }
    // An answer that was held up may be to an earlier offer of the job, also to the same holder. A former
    // release sends neither numbers nor its clock.
    const bool numbered = result.number != workers::offer_number() || m_peers.clock(from).count() > 0;
    if (item.holder != from || (numbered && item.offer.number != result.number)) {
        m_actions.emplace_back(routing_record{routing_decision::result_ignored,
                                              result.job,
                                              from,
                                              std::string(to_string(result.end)),
                                              since(now, item.arrived),
                                              {},
                                              result.number});
        return;
    }
    switch (result.end) {
        case workers::job_end::failed:
            answer(now, result.job, answer_kind::failed, result.reason, {});
            break;
        case workers::job_end::refused:
            if (item.offer.may_have_run) {
                give_up(now, result.job, result.reason);
            } else {
                answer(now, result.job, answer_kind::refused, result.reason, result.retry_after);
            }
            break;
        case workers::job_end::returned:
            ++item.offer.returns;
            item.returned_by.push_back(item.offer.pool);
            if (!offer(now, item, routing_decision::offered_elsewhere)) {
                give_up(now, result.job, refusal_reason::no_runners);
            }
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

void router::on_not_held(time_point now, const workers::job_result& result)
{
    job& item = m_jobs.at(result.job);
    if (!result.may_have_run && !item.offer.may_have_run) {
        item.returned_by.clear();
        if (!offer(now, item, routing_decision::offered_elsewhere)) {
            wait_for_holder(now, result.job);
        }
        return;
    }
    item.lost = true;
    item.lost_at = now;
    item.uncertain_known = true;
    item.offer.uncertain_tasks = result.uncertain_tasks;
    follow_holder(now, result.job);
}

void router::prepare_again(time_point now, job& item) const
{
    item.offer.may_have_run = true;
    item.offer.uncertain_for =
        std::max(milliseconds(0), m_options.lost_holder_timeout - since(now, item.granted_at));
    if (std::exchange(item.uncertain_known, false)) {
        return;
    }
    item.offer.uncertain_tasks.clear();
    const auto& done = item.offer.done_tasks;
    std::uint32_t total = 0;
    for (const workers::job_step& step : item.offer.steps) {
        total += step.tasks;
    }
    for (std::uint32_t number = 0; number < total; ++number) {
        if (std::find(done.begin(), done.end(), number) == done.end()) {
            item.offer.uncertain_tasks.push_back(number);
        }
    }
}

void router::give_up(time_point now, const job_id& id, refusal_reason reason)
{
    const job& item = m_jobs.at(id);
    if (!item.holder.empty()) {
        m_actions.emplace_back(send_to_holder{item.holder, cancel_of(item)});
    }
    answer(now, id, answer_kind::unknown_end, reason, {});
}

workers::job_cancel router::cancel_of(const job& item) const
{
    return {item.offer.job, m_peers.self(), item.offer.number};
}

void router::answer(time_point now, const job_id& id, answer_kind kind, refusal_reason reason,
                    milliseconds retry_after)
{
    const auto found = m_jobs.find(id);
    const milliseconds waited = since(now, found->second.arrived);
    m_actions.emplace_back(answer_caller{found->second.caller, id, kind, reason, retry_after,
                                         found->second.offer.service, waited});
    m_actions.emplace_back(routing_record{
        routing_decision::answered, id, found->second.holder, answer_text(kind, reason), waited, {}, {}});
    m_callers.erase(found->second.caller);
    m_jobs.erase(found);
}

// The new holder of a pool learns what runs from the workers themselves, so the job can go on there at once.
// In any other pool it may start only when nothing of it can run in the former one.
void router::follow_holder(time_point now, const job_id& id)
{
    job& item = m_jobs.at(id);
    endpoint holder;
    const workers::pool_load* load = m_peers.holder(now, item.offer.pool, holder);
    const bool reaches_workers = load != nullptr && load->capacity_cpu > 0;
    if (reaches_workers && holder != item.holder) {
        if (!item.lost) {
            item.lost_at = now - m_peers.status_age(now, item.holder).value_or(milliseconds(0));
        }
        prepare_again(now, item);
        send_offer(now, item,
                   {item.offer.pool, holder, {}, m_peers.status_age(now, holder).value_or(milliseconds(0))},
                   routing_decision::offered_again);
        return;
    }
    if (load != nullptr && holder == item.holder) {
        // Back after a silence: it may have dropped the job, or its answer may have got lost.
        if (item.lost && now >= item.lost_at + settling_time) {
            prepare_again(now, item);
            send_offer(
                now, item,
                {item.offer.pool, holder, {}, m_peers.status_age(now, holder).value_or(milliseconds(0))},
                routing_decision::offered_again);
        }
        return;
    }
    if (!item.lost) {
        const auto status_age = m_peers.status_age(now, item.holder);
        item.lost = true;
        item.lost_at = now - status_age.value_or(milliseconds(0));
        m_actions.emplace_back(routing_record{routing_decision::waits_for_lapse,
                                              id,
                                              item.holder,
                                              {},
                                              since(now, item.arrived),
                                              status_age.value_or(milliseconds(0)),
                                              item.offer.number});
    }
    // A holder that is not heard may hear this instance, and goes on with the job unless it is told. Its
    // tasks must have been stopped before they start elsewhere.
    if (!item.cancelled_at && now >= item.granted_at + m_options.lost_holder_timeout - cancel_lead) {
        item.cancelled_at = now;
        m_actions.emplace_back(send_to_holder{item.holder, cancel_of(item)});
    }
    if (!item.cancelled_at || now < *item.cancelled_at + cancel_lead) {
        return;
    }
    prepare_again(now, item);
    if (!offer(now, item, routing_decision::offered_elsewhere)) {
        give_up(now, id, refusal_reason::owner_lost);
    }
}

void router::on_pause(time_point now)
{
    for (auto& [id, item] : m_jobs) {
        if (!item.holder.empty() && !item.lost) {
            item.lost = true;
            item.lost_at = now;
        }
    }
}

void router::on_tick(time_point now)
{
    std::vector<job_id> ids;
    ids.reserve(m_jobs.size());
    for (const auto& [id, item] : m_jobs) {
        ids.push_back(id);
    }
    for (const job_id& id : ids) {
        if (now >= m_jobs.at(id).deadline_at) {
            give_up(now, id, refusal_reason::timed_out);
            continue;
        }
        job& item = m_jobs.at(id);
        if (!item.holder.empty()) {
            follow_holder(now, id);
        } else if (!offer(now, item, routing_decision::offered)) {
            wait_for_holder(now, id);
        }
    }
}

void router::add_holders(std::set<endpoint>& holders) const
{
    for (const auto& [id, item] : m_jobs) {
        if (!item.holder.empty()) {
            holders.insert(item.holder);
        }
    }
}

std::vector<routing_action> router::take_actions()
{
    return std::exchange(m_actions, {});
}

}  // namespace poplarshed::routing
