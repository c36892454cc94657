#include "dispatch/fake_data_centre.h"

#include <utility>

namespace poplarshed::dispatch {

namespace {

/// Network delay of a request, a result or a message between instances.
constexpr microseconds one_way_delay{500};
constexpr milliseconds tick_period{10};
/// Connections of all instances that a runner accepts; above it answers 503.
constexpr std::size_t max_connections = 60;
/// Run time of a task on a failing runner.
constexpr milliseconds failing_run_time{5};
/// Time from the first task on a leaving runner until the runner refuses connections.
constexpr seconds leave_delay{1};

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace

fake_data_centre::fake_data_centre(std::vector<std::unique_ptr<dispatcher>> dispatchers,
                                   std::vector<fake_runner> runners, const configuration::bundle& bundle,
                                   std::uint64_t seed)
    : m_dispatchers(std::move(dispatchers)), m_runners(std::move(runners)), m_random(seed)
{
    for (std::size_t i = 0; i < m_runners.size(); ++i) {
        m_by_address[m_runners[i].listed.address] = i;
    }
    for (std::uint32_t i = 0; i < m_dispatchers.size(); ++i) {
        m_dispatchers[i]->apply(bundle, m_now);
        handle(i, m_dispatchers[i]->set_peers(i, m_dispatchers.size(), m_now));
        at(m_now + microseconds(1000 * i), [this, i] { tick(i); });
    }
    publish_runners();
}

void fake_data_centre::publish_runners()
{
    std::vector<runner> listed;
    for (const fake_runner& candidate : m_runners) {
        if (candidate.mode != runner_mode::down) {
            listed.push_back(candidate.listed);
        }
    }
    for (std::uint32_t i = 0; i < m_dispatchers.size(); ++i) {
        handle(i, m_dispatchers[i]->set_runners(listed, m_now));
    }
}

void fake_data_centre::cancel(job_key key)
{
    const std::uint32_t instance = m_jobs.at(key).instance;
    handle(instance, m_dispatchers[instance]->cancel(key, refusal_reason::cancelled, m_now));
}

void fake_data_centre::at(time_point due, std::function<void()> call)
{
    m_events.push({due, ++m_order, std::move(call)});
}

void fake_data_centre::run_until(time_point end)
{
    while (!m_events.empty() && m_events.top().due <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.due;
        next.call();
    }
    m_now = end;
}

void fake_data_centre::tick(std::uint32_t instance)
{
    handle(instance, m_dispatchers[instance]->on_timer(m_now));
    at(m_now + tick_period, [this, instance] { tick(instance); });
}

void fake_data_centre::submit(std::uint32_t instance, job_request request)
{
    m_keys[request.submission] = request.key;
    job_record& submitted = m_jobs[request.key];
    submitted.instance = instance;
    submitted.request = request;
    handle(instance, m_dispatchers[instance]->submit(std::move(request), m_now));
}

void fake_data_centre::handle(std::uint32_t instance, const std::vector<action>& actions)
{
    for (const action& next : actions) {
        if (on_action) {
            on_action(instance, next);
        }
        perform(instance, next);
    }
}

void fake_data_centre::perform(std::uint32_t instance, const action& performed)
{
    std::visit(overloaded{
                   [&](const start_attempt& content) { start(instance, content); },
                   [&](const abandon_attempt& content) {
                       const auto found = m_by_attempt.find({instance, content.attempt});
                       if (found != m_by_attempt.end()) {
                           answer(found->second, attempt_status::abandoned, verdict::may_have_run);
                       }
                   },
                   [&](const answer_job& content) { record(content); },
                   [&](const count_retry& content) { ++m_wasted[content.reason]; },
                   [&](const send_slot_demand& content) {
                       for (std::uint32_t to = 0; to < m_dispatchers.size(); ++to) {
                           if (to != instance) {
                               ++m_messages;
                               at(m_now + one_way_delay, [this, to, message = content.message] {
                                   handle(to, m_dispatchers[to]->on_slot_demand(message, m_now));
                               });
                           }
                       }
                   },
                   [&](const send_slot_grant& content) {
                       ++m_messages;
                       at(m_now + one_way_delay, [this, content] {
                           handle(content.to,
                                  m_dispatchers[content.to]->on_slot_grant(content.message, m_now));
                       });
                   },
               },
               performed);
}

void fake_data_centre::start(std::uint32_t instance, const start_attempt& request)
{
    const std::uint64_t id = ++m_last;
    m_attempts[id] = {.instance = instance, .runner = m_by_address.at(request.runner), .request = request};
    m_by_attempt[{instance, request.attempt}] = id;
    at(m_now + one_way_delay, [this, id] { on_arrival(id); });
    at(m_now + request.timeout, [this, id] { answer(id, attempt_status::timed_out, verdict::may_have_run); });
}

void fake_data_centre::on_arrival(std::uint64_t id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    attempt_in_flight& pending = found->second;
    fake_runner& target = m_runners[pending.runner];
    if (target.mode == runner_mode::down || m_now >= target.refuses_from) {
        answer(id, attempt_status::connection_refused, verdict::not_run);
        return;
    }
    if (target.running + target.queue.size() >= max_connections) {
        answer(id, attempt_status::runner_full,
               pending.request.promises_not_run ? verdict::not_run : verdict::may_have_run);
        return;
    }
    if (pending.answered) {
        return;
    }
    pending.in_runner = true;
    if (on_start) {
        on_start(pending.request, target);
    }
    if (target.running < target.listed.slots) {
        run(id);
    } else {
        target.queue.push_back(id);
    }
}

void fake_data_centre::run(std::uint64_t id)
{
    const attempt_in_flight& pending = m_attempts.at(id);
    fake_runner& target = m_runners[pending.runner];
    ++target.running;
    const auto work = microseconds(std::stoll(pending.request.payload));
    auto time = std::chrono::duration_cast<duration>(work / target.speed);
    attempt_status status = attempt_status::succeeded;
    if (target.mode == runner_mode::frozen) {
        return;
    }
    if (target.mode == runner_mode::failing) {
        time = failing_run_time;
        status = attempt_status::runner_failed;
    } else if (target.mode == runner_mode::flaky && m_random.below(10) == 0) {
        status = attempt_status::connection_lost;
    }
    if (target.mode == runner_mode::leaving && target.refuses_from == time_point::max()) {
        target.refuses_from = m_now + leave_delay;
    }
    at(m_now + time, [this, id, status] { finish(id, status); });
}

void fake_data_centre::finish(std::uint64_t id, attempt_status status)
{
    const std::size_t index = m_attempts.at(id).runner;
    fake_runner& target = m_runners[index];
    --target.running;
    m_attempts.at(id).in_runner = false;
    const verdict ran = status == attempt_status::connection_lost ? verdict::may_have_run : verdict::ran;
    at(m_now + one_way_delay, [this, id, status, ran] {
        answer(id, status, ran);
        erase_if_ended(id);
    });
    if (!target.queue.empty()) {
        const std::uint64_t next = target.queue.front();
        target.queue.pop_front();
        run(next);
    }
}

void fake_data_centre::erase_if_ended(std::uint64_t id)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end() && found->second.answered && !found->second.in_runner) {
        m_attempts.erase(found);
    }
}

void fake_data_centre::answer(std::uint64_t id, attempt_status status, verdict ran)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.answered) {
        return;
    }
    attempt_in_flight& pending = found->second;
    pending.answered = true;
    m_by_attempt.erase({pending.instance, pending.request.attempt});
    const std::uint32_t instance = pending.instance;
    const bool leaving = m_runners[pending.runner].mode == runner_mode::leaving;
    const attempt_result result{.attempt = pending.request.attempt,
                                .status = status,
                                .ran = ran,
                                .body = pending.request.payload,
                                .runner_leaving = leaving && status == attempt_status::succeeded};
    // Results reach the dispatcher after the call that caused them has returned, as if posted by the upstream
    // client's thread.
    at(m_now, [this, instance, result, runner = pending.request.runner] {
        const auto actions = m_dispatchers[instance]->on_result(result, m_now);
        if (result.runner_leaving && on_leaving) {
            on_leaving(instance, runner);
        }
        handle(instance, actions);
    });
    erase_if_ended(id);
}

void fake_data_centre::record(const answer_job& answer)
{
    job_record& job = m_jobs.at(answer.key);
    ++job.answers;
    job.answered = m_now;
    job.outcome = answer.outcome;
}

}  // namespace poplarshed::dispatch
