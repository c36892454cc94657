#include "instance/fleet_faults.h"

#include <cstdlib>

namespace poplarshed::instance::test {

namespace {

constexpr int steps = 70;
// Pools are held and every worker is listed by then.
constexpr milliseconds warm_up{1500};
// The longest time limit and four attempts of a caller.
constexpr milliseconds longest_calm{45'000};
// After the last answer: the longest lease, stops that are sent again, and a job that a lost owner had.
constexpr milliseconds last_calm{4000};

void disturb_orders(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    order_faults& faults = fleet.workers().faults(time.below(fleet.workers().size()));
    faults = {};
    if (time.chance(0.4)) {
        return;
    }
    faults.lost = time.chance(0.5) ? 0.1 : 0;
    faults.late_answer = time.chance(0.5) ? 0.2 : 0;
    faults.doubled = time.chance(0.3) ? 0.2 : 0;
    faults.deferred = time.chance(0.5) ? 0.2 : 0;
    faults.slow_down = time.chance(0.2) ? milliseconds(60) : milliseconds(0);
}

}  // namespace

std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Half of the faults last longer than the silence that is tolerated and end before the connection does.
milliseconds fault_length(virtual_time& time)
{
    if (time.chance(0.5)) {
        return time.between(milliseconds(600), milliseconds(1950));
    }
    return time.between(milliseconds(100), milliseconds(2500));
}

void disturb_links(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    const std::size_t one = time.below(fleet.size());
    const std::size_t other = (one + 1 + time.below(fleet.size() - 1)) % fleet.size();
    const milliseconds length = fault_length(time);
    const std::uint64_t kind = time.below(10);
    if (kind < 2) {
        fleet.cut(one, other, length);
    } else if (kind < 5) {
        fleet.cut(one, other, length);
        fleet.cut(other, one, length);
    } else if (kind < 8) {
        fleet.cut_off_instance(one, length);
    } else {
        fleet.slow_down(one, other, time.between(milliseconds(20), milliseconds(300)), length);
    }
}

void disturb_processes(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    const std::uint64_t kind = time.below(10);
    if (kind < 5) {
        fleet.pause(time.below(fleet.size()), fault_length(time));
    } else if (kind < 8) {
        fleet.kill(time.below(fleet.size()), time.between(milliseconds(300), milliseconds(3000)));
    } else {
        const bool leases_pause = time.chance(0.5);
        fleet.store().go_away(time.between(milliseconds(500), milliseconds(5000)), leases_pause);
        time.note({}, "FAULT store away");
    }
}

void disturb_workers(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    const std::size_t index = time.below(fleet.workers().size());
    const std::uint64_t kind = time.below(10);
    if (kind < 5) {
        disturb_orders(fleet);
    } else if (kind < 8) {
        fleet.cut_off_worker(index, time.between(milliseconds(100), milliseconds(3500)));
    } else {
        fleet.crash_worker(index, time.between(milliseconds(50), milliseconds(3000)));
    }
}

outcome play(virtual_fleet& fleet, const std::function<void(virtual_fleet&)>& run_step)
{
    fleet.advance(warm_up);
    int step = 0;
    while (step < steps && fleet.violations().empty()) {
        ++step;
        run_step(fleet);
        fleet.advance(fleet.time().between({}, milliseconds(250)));
    }
    for (std::size_t i = 0; i < fleet.workers().size(); ++i) {
        fleet.workers().faults(i) = {};
    }
    const time_point latest = fleet.time().now() + longest_calm;
    while (fleet.time().now() < latest && !fleet.callers().all_ended() && fleet.violations().empty()) {
        fleet.advance(milliseconds(100));
    }
    fleet.advance(last_calm);
    if (fleet.violations().empty()) {
        fleet.check_end();
    }
    return {fleet.violations(), fleet.coverage(), step};
}

}  // namespace poplarshed::instance::test
