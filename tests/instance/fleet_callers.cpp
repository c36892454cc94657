#include "instance/fleet_callers.h"

#include <algorithm>
#include <utility>

#include "instance/fleet_workers.h"

namespace poplarshed::instance::test {

namespace {

// The users' callers wait this long before they send a job again.
constexpr milliseconds resend_delay{1300};
constexpr int most_attempts = 4;
// A deadline is seen at a tick; the rest is time for the turn.
constexpr milliseconds answer_slack{100};
// Until an instance hears that a caller has left.
constexpr milliseconds longest_notice{30};
constexpr milliseconds greatest_resend_spread{400};
// After a reset: until the instance reads the end of the connection, and until the caller's next request is
// read.
constexpr milliseconds longest_reset_notice{3};
constexpr milliseconds greatest_reset_resend{5};
// An instance that wakes reads the request first, and some turns later that its connection is closed; where
// its share of a processor is a quota, up to a tenth of a second later.
constexpr milliseconds greatest_read_lag{8};
// The same in break_connections(); longer than a tick.
constexpr milliseconds front_lag{30};
constexpr milliseconds greatest_quota_lag{90};
constexpr double share_of_quota_lags = 0.2;

routing::route desk_route()
{
    routing::route target;
    target.name = "desk";
    target.service = service_id("desk");
    target.max_attempts = 3;
    target.stretch = 1.6;
    target.allowance = milliseconds(150);
    return target;
}

}  // namespace

void virtual_callers::send_job()
{
    submit(add_drawn());
}

void virtual_callers::send_job_to(std::size_t instance, milliseconds leaves_after)
{
    const std::string id = add_drawn();
    submit(id, instance);
    m_time.after(leaves_after, [this, id, caller = m_last_caller] {
        const job& item = m_jobs.at(id);
        if (item.open && item.open->caller.value() == caller) {
            leave_and_send_again(id);
        }
    });
}

std::string virtual_callers::add_drawn()
{
    const milliseconds work = m_time.between(milliseconds(60), milliseconds(900));
    const milliseconds limit = work * 2 + m_time.between(milliseconds(1000), milliseconds(6000));
    return add(1 + static_cast<std::uint32_t>(m_time.below(8)), work, limit);
}

void virtual_callers::send_job(std::size_t instance, std::uint32_t tasks, milliseconds work,
                               milliseconds time_limit)
{
    submit(add(tasks, work, time_limit), instance);
}

std::string virtual_callers::send_crashing_job(std::optional<std::size_t> instance, std::uint32_t tasks,
                                               milliseconds time_limit)
{
    std::string id = add(tasks, milliseconds(60), time_limit);
    m_jobs.at(id).content.payload = virtual_workers::crashing_payload;
    submit(id, instance);
    return id;
}

std::string virtual_callers::add(std::uint32_t tasks, milliseconds work, milliseconds time_limit)
{
    std::string id = "j" + std::to_string(m_jobs.size() + 1);
    job added;
    added.content.job = workers::job_id(id);
    added.content.payload = std::to_string(work.count());
    added.content.time_limit = time_limit;
    added.content.steps.resize(1);
    added.content.steps[0].tasks = tasks;
    added.content.steps[0].need = {virtual_workers::task_cpu, 64, 0};
    added.content.steps[0].estimate = work;
    m_jobs.emplace(id, std::move(added));
    return id;
}

void virtual_callers::submit(const std::string& id, std::optional<std::size_t> to)
{
    job& item = m_jobs.at(id);
    const routing::caller_id caller(++m_last_caller);
    const auto instance = m_events.submit(to, caller, desk_route(), item.content);
    if (!instance) {
        submit_later(id, milliseconds(200));
        return;
    }
    ++item.attempts;
    item.open = attempt{caller, *instance, m_time.now(), m_events.paused_time(*instance)};
    m_time.note(id, "caller " + std::to_string(caller.value()) + " sends " +
                        std::to_string(item.content.steps[0].tasks) + " tasks of " + item.content.payload +
                        " ms to instance " + std::to_string(*instance) + ", limit " +
                        std::to_string(item.content.time_limit.count()));
    if (m_own_time_limits) {
        m_time.after(item.content.time_limit + answer_slack + milliseconds(1),
                     [this, id, caller] { leave_at_time_limit(id, caller); });
    }
}

void virtual_callers::submit_later(const std::string& id, milliseconds delay, std::optional<std::size_t> to)
{
    m_time.after(delay, [this, id, to] { submit(id, to); });
}

void virtual_callers::break_connections(std::size_t at, std::size_t resend_to)
{
    for (auto& [id, item] : m_jobs) {
        if (item.open && item.open->instance == at) {
            m_time.note(id, "the caller's connection breaks");
            const attempt left = *std::exchange(item.open, std::nullopt);
            m_left.emplace(left.caller, left);
            item.only_refused = false;
            m_events.leave(at, left.caller, front_lag);
            submit_later(id, resend_delay, resend_to);
        }
    }
}

std::vector<std::string> virtual_callers::waiting() const
{
    std::vector<std::string> found;
    for (const auto& [id, item] : m_jobs) {
        if (item.open) {
            found.push_back(id);
        }
    }
    return found;
}

std::optional<std::size_t> virtual_callers::break_one()
{
    const std::vector<std::string> found = waiting();
    if (found.empty()) {
        return std::nullopt;
    }
    const std::string& id = found.at(m_time.below(found.size()));
    const std::size_t instance = m_jobs.at(id).open->instance;
    leave_and_send_again(id);
    return instance;
}

virtual_callers::attempt virtual_callers::leave(const std::string& id)
{
    job& item = m_jobs.at(id);
    const attempt left = *std::exchange(item.open, std::nullopt);
    m_time.note(id, "caller " + std::to_string(left.caller.value()) + " loses its connection to instance " +
                        std::to_string(left.instance));
    m_left.emplace(left.caller, left);
    item.only_refused = false;
    return left;
}

void virtual_callers::send_job_into_reset()
{
    const std::string id = add_drawn();
    submit(id);
    if (!m_jobs.at(id).open) {
        return;
    }
    const attempt left = leave(id);
    m_time.after(m_time.between({}, longest_reset_notice),
                 [this, left] { m_events.leave(left.instance, left.caller, {}); });
    ++m_resent;
    submit_later(id, m_time.between(milliseconds(1), greatest_reset_resend));
}

void virtual_callers::reset_connections()
{
    for (const std::string& id : waiting()) {
        const attempt left = leave(id);
        m_time.after(m_time.between({}, longest_reset_notice),
                     [this, left] { m_events.leave(left.instance, left.caller, {}); });
        if (m_jobs.at(id).attempts < most_attempts) {
            ++m_resent;
            submit_later(id, resend_delay + m_time.between({}, greatest_resend_spread));
        } else {
            m_jobs.at(id).ended = true;
        }
    }
}

void virtual_callers::leave_and_send_again(const std::string& id)
{
    job& item = m_jobs.at(id);
    const attempt left = leave(id);
    const milliseconds read_lag = m_time.between(
        milliseconds(1), m_time.chance(share_of_quota_lags) ? greatest_quota_lag : greatest_read_lag);
    m_time.after(m_time.between(milliseconds(1), longest_notice),
                 [this, left, read_lag] { m_events.leave(left.instance, left.caller, read_lag); });
    if (item.attempts < most_attempts) {
        ++m_resent;
        submit_later(id, resend_delay + m_time.between({}, greatest_resend_spread));
    } else {
        item.ended = true;
    }
}

void virtual_callers::leave_at_time_limit(const std::string& id, routing::caller_id caller)
{
    const job& item = m_jobs.at(id);
    if (!item.open || item.open->caller != caller) {
        return;
    }
    if (m_events.paused_time(item.open->instance) == item.open->paused) {
        m_events.broken_rule(id, "no answer at the time limit");
        return;
    }
    leave_and_send_again(id);
}

void virtual_callers::give_up_one()
{
    const std::vector<std::string> found = waiting();
    if (found.empty()) {
        return;
    }
    job& item = m_jobs.at(found.at(m_time.below(found.size())));
    m_time.note(item.content.job.value(), "the caller leaves");
    const attempt left = *std::exchange(item.open, std::nullopt);
    m_left.emplace(left.caller, left);
    m_events.leave(left.instance, left.caller, {});
    item.only_refused = false;
    item.ended = true;
}

void virtual_callers::on_answer(std::size_t at, const routing::answer_caller& value)
{
    using routing::answer_kind;
    const std::string& id = value.job.value();
    job& item = m_jobs.at(id);
    m_time.note(id, "caller " + std::to_string(value.caller.value()) + " gets answer " +
                        std::to_string(static_cast<int>(value.kind)) + " " +
                        std::string(to_string(value.reason)));
    if (const auto left = m_left.find(value.caller); left != m_left.end()) {
        check_time(id, at, left->second);
        return;
    }
    if (!item.open || item.open->caller != value.caller || item.open->instance != at) {
        m_events.broken_rule(id, "an answer to a request that has one");
        return;
    }
    ++m_answers.at(static_cast<std::size_t>(value.kind));
    const attempt ended = *std::exchange(item.open, std::nullopt);
    check_time(id, at, ended);
    item.only_refused = item.only_refused && value.kind == answer_kind::refused;
    if (value.kind == answer_kind::unknown_end && item.attempts < most_attempts) {
        submit_later(id, resend_delay);
        return;
    }
    item.ended = true;
    check_refusal(id);
}

void virtual_callers::check_time(const std::string& id, std::size_t at, const attempt& ended)
{
    const auto waited = std::chrono::duration_cast<milliseconds>(m_time.now() - ended.sent);
    const milliseconds paused = m_events.paused_time(at) - ended.paused;
    if (waited > m_jobs.at(id).content.time_limit + answer_slack + paused) {
        m_events.broken_rule(id, "an answer after " + std::to_string(waited.count()) + " ms");
    }
}

void virtual_callers::check_refusal(const std::string& id)
{
    const job& item = m_jobs.at(id);
    if (item.ended && item.only_refused && item.started) {
        m_events.broken_rule(id, "refused, and a task has started");
    }
}

void virtual_callers::on_killed(std::size_t instance)
{
    for (auto& [id, item] : m_jobs) {
        if (!item.open || item.open->instance != instance) {
            continue;
        }
        item.open.reset();
        item.only_refused = false;
        m_time.note(id, "the caller's connection breaks");
        if (item.attempts < most_attempts) {
            submit_later(id, resend_delay);
        } else {
            item.ended = true;
        }
    }
}

void virtual_callers::on_started(const workers::task_ref& task, const std::string& /*worker*/)
{
    m_jobs.at(task.job.value()).started = true;
    check_refusal(task.job.value());
}

bool virtual_callers::all_ended() const
{
    return std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto& item) { return item.second.ended; });
}

void virtual_callers::check_answered()
{
    for (const auto& [id, item] : m_jobs) {
        if (!item.ended) {
            m_events.broken_rule(id, "no answer");
        }
    }
}

}  // namespace poplarshed::instance::test
