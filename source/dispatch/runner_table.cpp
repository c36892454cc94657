#include "dispatch/runner_table.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::dispatch {

namespace {

/// Time for which a runner that announced its leave gets no tasks. The platform's list lags by 10 s; by then
/// it shows whether the runner has left.
constexpr seconds announced_leave_duration{60};
/// Time until a runner that refused a connection is probed; the lag of the platform's list.
constexpr seconds refused_probe_delay{10};
/// Duration of the first ejection; each consecutive one lasts twice as long, up to the greatest shift.
constexpr milliseconds initial_ejection{1000};
constexpr std::uint32_t max_ejection_shift = 5;
/// Share of failed attempts at which a runner is ejected, and the decayed number of attempts that this takes.
constexpr double ejection_failure_share = 0.5;
constexpr double min_ejection_attempts = 2.5;
constexpr double outcome_decay = 0.9;
/// Greatest share of the runners that may be ejected at a time.
constexpr double max_ejected_share = 0.1;
/// Change of the concurrency limit: multiplicative decrease when the runner is full, additive increase for
/// each limit's worth of successes.
constexpr double limit_decrease = 0.7;
constexpr double limit_increase = 0.2;
/// Shortest time between two decreases, so that the results of attempts that were in flight together lower
/// the limit only once.
constexpr milliseconds limit_decrease_interval{100};
/// Weight, in attempts, of the runner's overall slowdown in the estimate for one of its services.
constexpr double slowdown_weight = 20.0;
/// Relative change of an estimate at which the idle index is updated.
constexpr double key_tolerance = 0.03;
/// Sorts a runner whose probe is due before all others in the idle index, so that the next task probes it.
constexpr double probe_key = 0.0;

}  // namespace

service_index runner_table::intern(const service_id& service)
{
    const auto [position, added] =
        m_service_index.emplace(service, static_cast<service_index>(m_services.size()));
    if (added) {
        m_services.emplace_back();
    }
    return position->second;
}

bool runner_table::fits(const runner& listed, service_index service) const
{
    const auto& needs = m_services[service].needs;
    return listed.memory_mb >= needs.memory_mb && listed.accelerators >= needs.accelerators;
}

void runner_table::configure(service_index service, const configuration::service& settings)
{
    m_services[service].needs = settings.needs;
    m_services[service].idempotent = settings.idempotent;
    for (runner_index i = 0; i < m_runners.size(); ++i) {
        for (offer& offered : m_runners[i].offers) {
            if (offered.service == service) {
                offered.fits = fits(m_runners[i].listed, service);
            }
        }
        refresh(i);
    }
    recount();
}

void runner_table::update_listing(runner_entry& entry, const runner& listed)
{
    std::vector<offer> offers;
    for (const service_id& service : listed.services) {
        const service_index index = intern(service);
        const auto previous = std::find_if(entry.offers.begin(), entry.offers.end(),
                                           [index](const offer& old) { return old.service == index; });
        offers.push_back(previous == entry.offers.end() ? offer{.service = index} : *previous);
        offers.back().fits = fits(listed, index);
    }
    entry.offers = std::move(offers);
    if (entry.listed.slots != listed.slots) {
        entry.limit = listed.slots;
    }
    entry.listed = listed;
    entry.share = m_sharing->share(listed.address, listed.slots, m_position);
}

void runner_table::set_runners(const std::vector<runner>& runners, time_point now)
{
    std::vector<bool> seen(m_runners.size() + runners.size(), false);
    for (const runner& listed : runners) {
        const auto next = static_cast<runner_index>(m_runners.size());
        const auto [position, added] = m_by_address.emplace(listed.address, next);
        const runner_index index = position->second;
        seen[index] = true;
        if (added) {
            m_runners.emplace_back();
        }
        runner_entry& entry = m_runners[index];
        if (entry.listed == listed && entry.state != runner_state::absent) {
            continue;
        }
        if (entry.state == runner_state::absent) {
            entry.slowdown = {};
            entry.failures = entry.attempts = 0.0;
            entry.state = runner_state::open;
        }
        // Offers that are no longer listed must be removed from the idle index before they are dropped.
        const runner_state state = entry.state;
        entry.state = runner_state::absent;
        refresh(index);
        update_listing(entry, listed);
        entry.state = state;
        refresh(index);
        if (listed.leaving) {
            set_state(index, runner_state::leaving, time_point::max());
        } else if (state == runner_state::leaving && entry.state_expiry == time_point::max()) {
            set_state(index, runner_state::open, now);
        }
    }
    for (runner_index i = 0; i < m_runners.size(); ++i) {
        if (!seen[i] && m_runners[i].state != runner_state::absent) {
            set_state(i, runner_state::absent, time_point::max());
        }
    }
    recount();
}

void runner_table::recount()
{
    for (service_entry& service : m_services) {
        service.offered = service.fitting = 0;
        service.total = 0.0;
    }
    m_available = 0;
    for (const runner_entry& entry : m_runners) {
        if (entry.state == runner_state::absent || entry.state == runner_state::leaving) {
            continue;
        }
        ++m_available;
        for (const offer& offered : entry.offers) {
            service_entry& service = m_services[offered.service];
            ++service.offered;
            service.fitting += offered.fits ? 1U : 0U;
            service.total += offered.fits ? entry.listed.slots : 0U;
        }
    }
}

void runner_table::set_position(peer_position position)
{
    m_position = position;
    for (runner_index i = 0; i < m_runners.size(); ++i) {
        runner_entry& entry = m_runners[i];
        entry.lent = 0;
        entry.share = m_sharing->share(entry.listed.address, entry.listed.slots, position);
        refresh(i);
    }
}

std::uint32_t runner_table::allowed(runner_index index) const
{
    const runner_entry& entry = m_runners[index];
    return static_cast<std::uint32_t>(std::max(static_cast<std::int32_t>(entry.share) - entry.lent, 0));
}

std::uint32_t runner_table::usable_slots(const runner_entry& entry) const
{
    if (entry.state != runner_state::open) {
        return entry.probe_due ? 1 : 0;
    }
    const auto by_share =
        static_cast<std::uint32_t>(std::max(static_cast<std::int32_t>(entry.share) - entry.lent, 0));
    return std::min(by_share, static_cast<std::uint32_t>(std::max(entry.limit, 1.0)));
}

std::uint32_t runner_table::free_slots(runner_index index) const
{
    const runner_entry& entry = m_runners[index];
    const std::uint32_t usable = usable_slots(entry);
    return usable > entry.in_flight ? usable - entry.in_flight : 0;
}

std::uint32_t runner_table::unused_slots(runner_index index) const
{
    const std::uint32_t slots = allowed(index);
    const std::uint32_t used = m_runners[index].in_flight;
    return slots > used ? slots - used : 0;
}

double runner_table::estimate(const runner_entry& entry, const offer& offered) const
{
    const double typical = m_services[offered.service].times.mean() * entry.slowdown.factor();
    return offered.times.mean(typical, slowdown_weight);
}

double runner_table::estimate(runner_index index, service_index service) const
{
    const runner_entry& entry = m_runners[index];
    for (const offer& offered : entry.offers) {
        if (offered.service == service) {
            return estimate(entry, offered);
        }
    }
    return m_services[service].times.mean();
}

bool runner_table::may_probe(const runner_entry& entry, const offer& offered) const
{
    // A failed probe fails the job of a non-idempotent task. Such tasks therefore probe only runners that
    // offer no idempotent service.
    return m_services[offered.service].idempotent ||
           std::none_of(entry.offers.begin(), entry.offers.end(),
                        [this](const offer& other) { return m_services[other.service].idempotent; });
}

void runner_table::refresh(runner_index index)
{
    runner_entry& entry = m_runners[index];
    const std::uint32_t free = free_slots(index);
    const bool open = entry.state == runner_state::open;
    m_idle_slots = m_idle_slots - entry.counted_idle + (open ? free : 0);
    entry.counted_idle = open ? free : 0;
    const std::uint32_t held = open ? usable_slots(entry) : 0;
    m_held_slots = m_held_slots - entry.counted_held + held;
    entry.counted_held = held;
    for (offer& offered : entry.offers) {
        service_entry& service = m_services[offered.service];
        const double capacity = open && offered.fits ? std::max(usable_slots(entry), entry.share) : 0.0;
        service.capacity += capacity - offered.capacity;
        offered.capacity = capacity;
        if (free == 0 || !offered.fits || (!open && !may_probe(entry, offered))) {
            if (offered.key >= 0.0) {
                service.idle.erase({offered.key, index});
                offered.key = -1.0;
            }
            continue;
        }
        const double key = open ? estimate(entry, offered) : probe_key;
        if (offered.key >= 0.0 && std::abs(key - offered.key) <= key_tolerance * offered.key) {
            continue;
        }
        if (offered.key >= 0.0) {
            service.idle.erase({offered.key, index});
        }
        service.idle.emplace(key, index);
        offered.key = key;
    }
}

std::optional<runner_index> runner_table::best_idle(service_index service, std::optional<runner_index> avoid,
                                                    const std::string* excluded_rack) const
{
    std::optional<runner_index> fallback;
    for (const auto& [key, index] : m_services[service].idle) {
        if (excluded_rack != nullptr && m_runners[index].listed.rack == *excluded_rack) {
            continue;
        }
        if (index != avoid) {
            return index;
        }
        fallback = index;
    }
    return fallback;
}

std::optional<runner_index> runner_table::best_idle_unreserved(service_index service,
                                                               std::optional<runner_index> avoid,
                                                               double reserved_slots,
                                                               double fast_seconds) const
{
    std::optional<runner_index> fallback;
    for (const auto& [key, index] : m_services[service].idle) {
        const double free = free_slots(index);
        if (key < fast_seconds && free <= reserved_slots) {
            reserved_slots -= free;
        } else if (index != avoid) {
            return index;
        } else {
            fallback = index;
        }
    }
    return fallback;
}

std::optional<runner_index> runner_table::better_of_two(service_index service, random_source& random) const
{
    const service_entry& service_state = m_services[service];
    if (service_state.idle.empty() || m_runners.empty()) {
        return std::nullopt;
    }
    std::optional<runner_index> best;
    double best_time = 0.0;
    int found = 0;
    // A drawn runner may be full or not offer the service; the bound on the draws keeps the cost constant.
    for (int draw = 0; draw < 16 && found < 2; ++draw) {
        const auto index = static_cast<runner_index>(random.below(m_runners.size()));
        const runner_entry& drawn = m_runners[index];
        const auto offered = std::find_if(
            drawn.offers.begin(), drawn.offers.end(),
            [&](const offer& candidate) { return candidate.service == service && candidate.key >= 0.0; });
        if (offered == drawn.offers.end()) {
            continue;
        }
        ++found;
        const double busy = static_cast<double>(drawn.in_flight * m_position.count) / drawn.listed.slots;
        const double time = estimate(drawn, *offered) * std::max(1.0, busy);
        if (!best || time < best_time) {
            best = index;
            best_time = time;
        }
    }
    return best ? best : std::optional(service_state.idle.begin()->second);
}

void runner_table::attempt_started(runner_index index, time_point /*now*/)
{
    runner_entry& entry = m_runners[index];
    ++entry.in_flight;
    ++m_in_flight;
    entry.probe_due = false;
    refresh(index);
}

void runner_table::record_run_time(runner_entry& entry, service_index service, double run_seconds)
{
    service_entry& service_state = m_services[service];
    entry.slowdown.add(run_seconds / service_state.times.mean());
    service_state.times.add(run_seconds);
    for (offer& offered : entry.offers) {
        if (offered.service == service) {
            offered.times.add(std::min(run_seconds, service_state.times.mean() * 8.0));
        }
    }
}

void runner_table::adjust_limit(runner_entry& entry, const attempt_result& result, time_point now)
{
    const double slots = entry.listed.slots;
    if (result.status == attempt_status::succeeded) {
        entry.limit = std::min(entry.limit + limit_increase / std::max(entry.limit, 1.0), slots);
    } else if (result.status == attempt_status::runner_full &&
               now - entry.limit_lowered >= limit_decrease_interval) {
        entry.limit = std::max(entry.limit * limit_decrease, 1.0);
        entry.limit_lowered = now;
    }
}

void runner_table::attempt_ended(const attempt& ended, service_index service, const attempt_result& result,
                                 time_point now)
{
    runner_entry& entry = m_runners[ended.runner];
    --entry.in_flight;
    --m_in_flight;
    const double held = std::chrono::duration<double>(now - ended.started).count();
    m_slot_time.add(held);
    if (result.status == attempt_status::succeeded) {
        record_run_time(entry, service, held);
    }
    adjust_limit(entry, result, now);
    const bool not_in_use = entry.state == runner_state::absent || entry.state == runner_state::leaving;
    if (!not_in_use && result.status == attempt_status::connection_refused) {
        set_state(ended.runner, runner_state::refused, now + refused_probe_delay);
    } else if (!not_in_use && result.status != attempt_status::abandoned &&
               result.status != attempt_status::rejected && result.status != attempt_status::runner_full) {
        record_outcome(ended.runner, result.status != attempt_status::succeeded, now);
    }
    if (result.runner_leaving && entry.state != runner_state::absent &&
        !(entry.state == runner_state::leaving && entry.state_expiry == time_point::max())) {
        set_state(ended.runner, runner_state::leaving, now + announced_leave_duration);
    }
    refresh(ended.runner);
}

bool runner_table::healthy(runner_index index) const
{
    const runner_entry& entry = m_runners[index];
    return entry.attempts >= 1.0 && entry.failures < ejection_failure_share * entry.attempts;
}

bool runner_table::may_eject() const
{
    const double bound = std::max(1.0, max_ejected_share * static_cast<double>(m_available));
    return static_cast<double>(m_ejected) < bound;
}

void runner_table::record_outcome(runner_index index, bool failed, time_point now)
{
    runner_entry& entry = m_runners[index];
    entry.attempts = entry.attempts * outcome_decay + 1.0;
    entry.failures = entry.failures * outcome_decay + (failed ? 1.0 : 0.0);
    const bool pending = entry.state == runner_state::ejected || entry.state == runner_state::refused;
    if (pending && !failed) {
        entry.failures = entry.attempts = 0.0;
        entry.ejections = 0;
        set_state(index, runner_state::open, now);
        return;
    }
    const bool outlier = entry.attempts >= min_ejection_attempts &&
                         entry.failures >= ejection_failure_share * entry.attempts && failed;
    if (pending || (outlier && may_eject())) {
        const auto pause = initial_ejection * (1U << std::min(entry.ejections, max_ejection_shift));
        ++entry.ejections;
        set_state(index, runner_state::ejected, now + pause);
    }
}

void runner_table::set_state(runner_index index, runner_state state, time_point until)
{
    runner_entry& entry = m_runners[index];
    m_ejected -= entry.state == runner_state::ejected ? 1U : 0U;
    m_ejected += state == runner_state::ejected ? 1U : 0U;
    entry.state = state;
    entry.state_expiry = until;
    entry.probe_due = false;
    if (state != runner_state::open && until != time_point::max()) {
        m_state_timers.emplace(until, index);
    }
    refresh(index);
}

void runner_table::on_timer(time_point now)
{
    while (!m_state_timers.empty() && m_state_timers.top().first <= now) {
        const auto [due, index] = m_state_timers.top();
        m_state_timers.pop();
        runner_entry& entry = m_runners[index];
        if (entry.state_expiry != due) {
            continue;
        }
        if (entry.state == runner_state::leaving) {
            set_state(index, runner_state::open, now);
        } else if (entry.state == runner_state::ejected || entry.state == runner_state::refused) {
            entry.probe_due = entry.in_flight == 0;
            if (!entry.probe_due) {
                m_state_timers.emplace(now + initial_ejection, index);
                entry.state_expiry = now + initial_ejection;
            }
            refresh(index);
        }
    }
}

void runner_table::lend(runner_index index, std::int32_t slots)
{
    m_runners[index].lent += slots;
    refresh(index);
}

std::optional<runner_index> runner_table::find(const endpoint& address) const
{
    const auto found = m_by_address.find(address);
    return found == m_by_address.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace poplarshed::dispatch
