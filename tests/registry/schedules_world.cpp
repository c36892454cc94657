#include "registry/schedules_world.h"

#include <algorithm>

namespace poplarshed::schedules {

namespace {

constexpr milliseconds timer_period{40};
constexpr milliseconds schedule_length{5'900};

// Results of a follower's query in addition to the values of registry::ownership.
constexpr int query_timed_out = 100;
constexpr int query_connection_refused = 101;

}  // namespace

world::world(std::uint64_t seed, const disabled_rule_sets& disabled, coverage& covered)
    : m_random(seed), m_omitted(disabled), m_covered(covered)
{}

std::string world::run()
{
    plan();
    while (!m_events.empty() && m_violation.empty()) {
        std::pop_heap(m_events.begin(), m_events.end(), std::greater<>());
        event next = std::move(m_events.back());
        m_events.pop_back();
        if (next.at > time_point(seconds(1000)) + schedule_length) {
            break;
        }
        m_now = std::max(m_now, next.at);
        next.run();
    }
    for (const request& asked : m_requests) {
        if (!asked.abandoned && asked.outcomes != 1 && m_violation.empty()) {
            report_violation("request for " + asked.claim.id.value() + " has " +
                             std::to_string(asked.outcomes) + " outcomes");
        }
    }
    for (const auto& node : m_processes) {
        m_covered.recognised_writes += node->member->recognised_writes();
    }
    for (const auto& [home, entry] : m_views) {
        m_covered.epochs += entry.view.epoch.value();
    }
    return m_violation;
}

void world::report_violation(const std::string& text)
{
    log_event("VIOLATION " + text);
    if (m_violation.empty()) {
        m_violation = text;
    }
}

void world::log_event(const std::string& text)
{
    if (m_logging) {
        const auto passed = std::chrono::duration_cast<milliseconds>(m_now - time_point(seconds(1000)));
        m_log += std::to_string(passed.count()) + " " + text + "\n";
    }
}

milliseconds world::between(int least, int most)
{
    return milliseconds(least + static_cast<int>(m_random.below(static_cast<std::uint64_t>(most) -
                                                                static_cast<std::uint64_t>(least) + 1)));
}

void world::at(milliseconds delay, std::function<void()> action)
{
    m_events.push_back({m_now + delay, m_order++, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end(), std::greater<>());
}

// Events of a paused process are delayed until it resumes.
void world::for_process(const std::shared_ptr<process>& target, milliseconds delay,
                        std::function<void(process&)> action)
{
    at(delay, [this, target, action = std::move(action)] {
        if (!target->running) {
            return;
        }
        if (m_now < target->paused_until) {
            const auto rest = std::chrono::duration_cast<milliseconds>(target->paused_until - m_now);
            for_process(target, rest, action);
            return;
        }
        action(*target);
    });
}

void world::boot(const endpoint& address, const data_centre_id& home)
{
    auto started = std::make_shared<process>();
    started->instance = {address, incarnation(++m_last_incarnation)};
    started->data_centre = home;
    membership::member_options options;
    options.heartbeat_interval = milliseconds(120);
    options.removal_grace = milliseconds(350);
    options.reading_gap = milliseconds(600);
    options.swap_timeout = milliseconds(150);
    options.proposal_jitter = milliseconds(40);
    options.disabled = m_omitted.membership;
    registry::registrar_options claims;
    claims.data_centres = {data_centre_id("a"), data_centre_id("b")};
    claims.claim_timeout = milliseconds(700);
    claims.sync_chunk = 2;
    claims.sync_window = 2;
    claims.disabled = m_omitted.registry;
    options.nearest = {claims.data_centres[home == claims.data_centres[0] ? 1 : 0]};
    started->member = std::make_unique<membership::member>(membership::view_member{started->instance, home},
                                                           options, random_source(m_random.bits()));
    started->registrar = std::make_unique<registry::registrar>(started->instance, home, claims,
                                                               random_source(m_random.bits()));
    const auto same = std::find_if(m_processes.begin(), m_processes.end(), [&address](const auto& other) {
        return other->instance.address == address;
    });
    if (same == m_processes.end()) {
        m_processes.push_back(started);
    } else {
        *same = started;
    }
    log_event("boot " + address.value() + "#" + std::to_string(m_last_incarnation));
    keep_lease(*started);
    for_process(started, between(1, 40), [this](process& target) { tick(target); });
    for_process(started, between(1, 40), [this](process& target) { read_platform(target); });
}

void world::kill(process& target)
{
    log_event("kill " + target.instance.address.value());
    target.running = false;
    m_killed.insert(target.instance);
    for (request& asked : m_requests) {
        asked.abandoned = asked.abandoned || (asked.at == target.instance && asked.outcomes == 0);
    }
}

void world::tick(process& target)
{
    execute(target, target.member->on_timer(m_now));
    target.registrar->on_timer(m_now);
    execute_registrar_actions(target);
    if (target.running) {
        for_process(find(target.instance.address), timer_period, [this](process& again) { tick(again); });
    }
}

void world::execute(process& source, std::vector<membership::action> actions)
{
    for (membership::action& next : actions) {
        if (auto* sent = std::get_if<membership::send_message>(&next)) {
            send(source, sent->to, sent->body);
        } else if (const auto* proposal = std::get_if<membership::propose_view>(&next)) {
            swap_view(source, *proposal);
        } else if (std::holds_alternative<membership::read_platform>(next)) {
            read_platform(source);
        } else if (const auto* adopted = std::get_if<membership::view_adopted>(&next)) {
            source.registrar->on_view(adopted->view, m_now);
        } else if (const auto* dead = std::get_if<membership::instance_failed>(&next)) {
            source.registrar->on_instance_failed(dead->instance, m_now);
        } else if (const auto* skip = std::get_if<membership::skip_member>(&next)) {
            ++m_covered.skips;
            source.registrar->on_member_skipped(skip->home, skip->epoch, skip->instance);
        } else {
            ++m_covered.exits;
            m_leases.erase(source.instance);
            kill(source);
            if (m_healed) {
                boot(source.instance.address, source.data_centre);
            }
            return;
        }
    }
    execute_registrar_actions(source);
}

void world::execute_registrar_actions(process& source)
{
    for (registry::action& next : source.registrar->take_actions(m_now)) {
        if (auto* sent = std::get_if<registry::send_message>(&next)) {
            send(source, sent->to, sent->body);
        } else {
            execute(source, next);
        }
    }
}

void world::execute(process& source, const registry::action& next)
{
    if (const auto* granted = std::get_if<registry::claim_granted>(&next)) {
        on_granted(source, *granted);
    } else if (const auto* refused = std::get_if<registry::claim_refused>(&next)) {
        on_refused(source, *refused);
    } else if (const auto* follow = std::get_if<registry::follow_owner>(&next)) {
        on_follow(source, *follow);
    } else if (const auto* synced = std::get_if<registry::records_synced>(&next)) {
        execute(source, source.member->on_synced(synced->home, synced->epoch, m_now));
    }
}

void world::submit(process& target, const registry::claim_request& claim)
{
    ++m_covered.claims;
    request asked{claim, m_now, target.instance, 0, false};
    asked.claim.first_submission =
        std::none_of(m_requests.begin(), m_requests.end(),
                     [&claim](const request& other) { return other.claim.id == claim.id; });
    m_requests.push_back(asked);
    log_event("submit " + claim.id.value() + " at " + target.instance.address.value());
    begin(target, m_requests.size() - 1);
}

void world::begin(process& target, std::size_t number)
{
    const submission_id& id = m_requests[number].claim.id;
    // A second request for an id that is already being claimed here shares the outcome of the first.
    if (target.pending_claims.contains(id)) {
        ++m_requests[number].outcomes;
        return;
    }
    target.pending_claims[id] = number;
    target.registrar->begin_claim(m_requests[number].claim, m_now);
    execute_registrar_actions(target);
}

void world::on_granted(process& owner, const registry::claim_granted& granted)
{
    const auto asked = owner.pending_claims.extract(granted.id);
    if (asked.empty() && !m_omitted.registry.late_grant) {
        report_violation("grant without request for " + granted.id.value());
        return;
    }
    const request* own = nullptr;
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        if (asked.empty() ? m_requests[i].claim.id == granted.id && m_requests[i].at == owner.instance
                          : i == asked.mapped()) {
            own = &m_requests[i];
        }
    }
    if (!asked.empty()) {
        ++m_requests[asked.mapped()].outcomes;
    }
    if (chance(0.2)) {
        if (!granted.rerun) {
            check_not_run(*own, "released");
        }
        owner.registrar->release(granted.id, m_now);
        execute_registrar_actions(owner);
        return;
    }
    ++m_covered.granted;
    owner.jobs[granted.id] = own->claim.body;
    check_start({owner.instance, own->claim.body, m_now}, granted.id, own->claim.rerun_if_owner_lost);
    if (!m_healed && chance(0.08)) {
        const auto self = find(owner.instance.address);
        for_process(self, between(1, 200), [this](process& lost) {
            if (!m_healed) {
                kill(lost);
            }
        });
    }
}

void world::check_start(const job_start& start, const submission_id& id, bool rerun)
{
    log_event("start " + id.value() + " by " + start.owner.address.value() + "#" +
              std::to_string(start.owner.incarnation.value()));
    std::vector<job_start>& earlier = m_starts[id];
    for (const job_start& other : earlier) {
        const bool replaced = rerun && m_killed.contains(other.owner);
        m_covered.reruns += replaced ? 1 : 0;
        if (!replaced) {
            report_violation("double start of " + id.value());
        }
    }
    earlier.push_back(start);
}

// A refusal with not_run is false if a job with the same body started before the request arrived. Later
// starts belong to other requests, which have their own outcomes.
void world::check_not_run(const request& refused, const char* why)
{
    ++m_covered.not_run;
    for (const job_start& start : m_starts[refused.claim.id]) {
        if (start.at < refused.arrival && start.body == refused.claim.body) {
            report_violation("false not_run for " + refused.claim.id.value() + " (" + why + ")");
        }
    }
}

void world::on_refused(process& owner, const registry::claim_refused& refused)
{
    const auto asked = owner.pending_claims.extract(refused.id);
    if (asked.empty()) {
        report_violation("refusal without request for " + refused.id.value());
        return;
    }
    request& own = m_requests[asked.mapped()];
    ++own.outcomes;
    log_event("refused " + refused.id.value() + " at " + owner.instance.address.value() + " " +
              std::string(to_string(refused.cause.ran)) + " " + std::string(to_string(refused.cause.reason)));
    if (refused.cause.ran == verdict::not_run) {
        check_not_run(own, to_string(refused.cause.reason).data());
    } else {
        ++m_covered.may_have_run;
    }
}

void world::on_follow(process& follower, const registry::follow_owner& follow)
{
    const auto asked = follower.pending_claims.extract(follow.id);
    if (asked.empty()) {
        report_violation("follow without request for " + follow.id.value());
        return;
    }
    ask_owner(follower, follow.owner, asked.mapped());
}

// Query from a follower to the owner; either direction may be lost.
void world::ask_owner(process& follower, const instance_id& owner, std::size_t number)
{
    const endpoint here = follower.instance.address;
    const auto self = find(here);
    const auto reply = [this, self, number, owner](milliseconds delay, int answer) {
        for_process(self, delay,
                    [this, number, answer, owner](process& back) { resolve(back, number, answer, owner); });
    };
    if (is_cut(here, owner.address) || is_cut(owner.address, here) || chance(m_loss)) {
        reply(milliseconds(300), query_timed_out);
        return;
    }
    const auto target = find(owner.address);
    if (!target->running || target->instance != owner) {
        reply(between(1, m_max_delay_ms), query_connection_refused);
        return;
    }
    if (m_now < target->paused_until) {
        reply(milliseconds(300), query_timed_out);
        return;
    }
    for_process(target, between(1, m_max_delay_ms), [this, number, reply](process& asked) {
        const submission_id id = m_requests[number].claim.id;
        const digest& body = m_requests[number].claim.body;
        const registry::ownership held = asked.registrar->answer_follower(id, body, m_now);
        execute_registrar_actions(asked);
        const auto job = asked.jobs.find(id);
        if (held == registry::ownership::granted && job != asked.jobs.end() && job->second != body) {
            report_violation("body mismatch attached to " + id.value());
        }
        reply(between(1, m_max_delay_ms), static_cast<int>(held));
    });
    // Timeout of the query, in case the owner fails or pauses before it responds.
    reply(milliseconds(300), query_timed_out);
}

void world::resolve(process& follower, std::size_t number, int answer, const instance_id& owner)
{
    request& own = m_requests[number];
    if (own.outcomes > 0 || follower.pending_claims.contains(own.claim.id)) {
        if (own.outcomes == 0 && follower.pending_claims[own.claim.id] != number) {
            ++own.outcomes;
        }
        return;
    }
    if (answer == query_connection_refused) {
        execute(follower,
                follower.member->on_evidence(owner, membership::evidence::connection_refused, m_now));
        follower.registrar->on_instance_failed(owner, m_now);
    }
    const auto held = static_cast<registry::ownership>(answer);
    const bool again = held == registry::ownership::none || held == registry::ownership::pending_other ||
                       answer == query_connection_refused;
    if (again && m_now - own.arrival < milliseconds(1'500)) {
        begin(follower, number);
        return;
    }
    ++own.outcomes;
    if (held == registry::ownership::granted_other) {
        check_not_run(own, "id_reused");
        return;
    }
    const bool followed = held == registry::ownership::granted || held == registry::ownership::pending;
    ++(followed ? m_covered.followed : m_covered.may_have_run);
}

std::string run_schedule(std::uint64_t seed, const disabled_rule_sets& disabled, coverage& covered)
{
    return world(seed, disabled, covered).run();
}

}  // namespace poplarshed::schedules
