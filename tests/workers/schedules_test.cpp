#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "pool_fixture.h"
#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

constexpr std::uint64_t default_seeds = 150;
// One seed takes about 0.1 s in a debug build.
constexpr std::uint64_t default_hostile_seeds = 40;
constexpr int steps = 60;
constexpr int hostile_steps = 80;
constexpr std::size_t workers = 4;

std::uint64_t number_from(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Number of seeds; set by hand, and by the CTest entries of single seeds.
std::uint64_t seed_count(std::uint64_t fallback)
{
    return number_from("POPLARSHED_SCHEDULE_SEEDS", fallback);
}

std::uint64_t first_seed()
{
    return number_from("POPLARSHED_FIRST_SEED", 1);
}

/// Removes all faults and waits until the last late command has been executed. @returns violated rules
std::vector<std::string> end_of_schedule(virtual_site& site, std::uint64_t jobs)
{
    for (std::size_t i = 0; i < workers; ++i) {
        site.behaviour(i) = {};
        site.set_listed(i, true);
    }
    site.set_pauses(0);
    site.advance(milliseconds(16'000));
    std::vector<std::string> violations = site.violations();
    if (site.outcomes().size() != jobs) {
        violations.push_back(std::to_string(jobs - site.outcomes().size()) + " jobs without an answer");
    }
    return violations;
}

/// Runs a random schedule of jobs, unreachable and crashing workers, late starts, and holders that are
/// replaced while the former one continues. @returns violated rules
std::vector<std::string> run_schedule(std::uint64_t seed)
{
    random_source random(seed);
    virtual_site site(workers, seed);
    std::uint64_t job = 0;
    for (int step = 0; step < steps; ++step) {
        const std::uint64_t event = random.below(100);
        const std::size_t index = random.below(workers);
        if (event < 60) {
            const milliseconds work(60 + static_cast<std::int64_t>(random.below(700)));
            site.offer(pool_fixture::offer("s" + std::to_string(seed) + "-" + std::to_string(++job),
                                           1 + static_cast<std::uint32_t>(random.below(4)), work),
                       work);
        } else if (event < 70) {
            site.behaviour(index).unreachable = !site.behaviour(index).unreachable;
        } else if (event < 74) {
            site.crash_worker(index);
        } else if (event < 80) {
            site.behaviour(index).delayed_starts = random.below(2) == 0 ? 0 : 0.3;
        } else if (event < 85) {
            site.behaviour(index).slowness = random.below(2) == 0 ? 1 : 6;
        } else if (event < 89) {
            site.replace_holder();
        } else if (event < 93) {
            site.drop_former();
        }
        site.advance(milliseconds(static_cast<std::int64_t>(random.below(150))));
    }
    return end_of_schedule(site, job);
}

milliseconds up_to(random_source& random, std::uint64_t most_ms)
{
    return milliseconds(static_cast<std::int64_t>(random.below(most_ms)));
}

/// Draws 0 or the given share with equal probability.
double share(random_source& random, double value)
{
    return random.below(2) == 0 ? 0 : value;
}

/// Changes how the network handles commands to a worker.
void change_network(random_source& random, virtual_site& site)
{
    worker_behaviour& changed = site.behaviour(random.below(workers));
    switch (random.below(8)) {
        case 0:
            changed.unreachable = !changed.unreachable;
            break;
        case 1:
            changed.delayed_commands = share(random, 0.15);
            break;
        case 2:
            changed.duplicated_commands = share(random, 0.15);
            break;
        case 3:
            changed.lost_answers = share(random, 0.2);
            break;
        case 4:
            changed.lost_stops = share(random, 0.8);
            break;
        case 5:
            changed.lost_lists = share(random, 0.4);
            break;
        case 6:
            changed.jitter = up_to(random, 60);
            break;
        default:
            site.set_pauses(share(random, 0.01));
            break;
    }
}

/// Offers a job of a few tasks.
void offer_job(random_source& random, virtual_site& site, std::uint64_t& jobs, milliseconds work)
{
    site.offer(pool_fixture::offer("h" + std::to_string(++jobs),
                                   1 + static_cast<std::uint32_t>(random.below(4)), work),
               work);
}

/// Workers that were idle for long, and may have restarted meanwhile, get tasks and become unreachable at
/// once. The holder's clock offsets are outdated by then.
void disconnect_after_idling(random_source& random, virtual_site& site, std::uint64_t& jobs)
{
    site.advance(milliseconds(20'000) + up_to(random, 40'000));
    if (random.below(2) == 0) {
        site.crash_worker(random.below(workers), up_to(random, 300));
        site.advance(up_to(random, 600));
    }
    offer_job(random, site, jobs, milliseconds(700) + up_to(random, 1000));
    site.advance(up_to(random, 100));
    for (std::size_t i = 0; i < workers; ++i) {
        site.behaviour(i).unreachable = random.below(2) == 0;
    }
    site.advance(milliseconds(700) + up_to(random, 1500));
    for (std::size_t i = 0; i < workers; ++i) {
        site.behaviour(i).unreachable = false;
    }
}

/// Changes workers, their directory entries, or holders.
void change_site(random_source& random, virtual_site& site, std::uint64_t& jobs)
{
    const std::size_t index = random.below(workers);
    switch (random.below(8)) {
        case 0:
            site.crash_worker(index, up_to(random, 3000));
            break;
        case 1:
            site.behaviour(index).slowness = random.below(2) == 0 ? 1 : 6;
            break;
        case 2:
        case 3:
            site.set_listed(index, !site.is_listed(index));
            break;
        case 4:
            site.replace_holder();
            break;
        case 5:
            site.replace_holder();
            site.advance(up_to(random, 700));
            site.replace_holder();
            break;
        case 6:
            site.drop_former();
            break;
        default:
            disconnect_after_idling(random, site, jobs);
            break;
    }
}

/// Runs a random schedule in which commands are late, duplicated or lost, answers are reordered, clocks are
/// slow or reset, the directory loses workers, and holders pause or are replaced twice in a row.
/// @returns violated rules
std::vector<std::string> run_hostile_schedule(std::uint64_t seed)
{
    random_source random(seed);
    virtual_site site(workers, seed);
    for (std::size_t i = 0; i < workers; ++i) {
        site.set_clock_rate(i, 1 - 0.005 * static_cast<double>(random.below(5)));
    }
    site.set_commands_outlive_restarts(random.below(2) == 0);
    std::uint64_t job = 0;
    for (int step = 0; step < hostile_steps; ++step) {
        const std::uint64_t event = random.below(100);
        if (event < 60) {
            offer_job(random, site, job, milliseconds(60) + up_to(random, 900));
        } else if (event < 82) {
            change_network(random, site);
        } else {
            change_site(random, site, job);
        }
        site.advance(milliseconds(static_cast<std::int64_t>(random.below(150))));
    }
    return end_of_schedule(site, job);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(schedules)

// Guards against concurrent runs of a task, refusals after a start, and jobs without an answer.
BOOST_AUTO_TEST_CASE(no_random_schedule_breaks_a_rule)
{
    const std::uint64_t last = first_seed() + seed_count(default_seeds);
    for (std::uint64_t seed = first_seed(); seed < last; ++seed) {
        const auto violations = run_schedule(seed);
        BOOST_TEST(violations.empty(),
                   "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    }
}

// Guards against the same faults while commands are executed late or twice, answers are lost, clocks drift
// and are reset, workers leave the directory and return, and holders pause.
BOOST_AUTO_TEST_CASE(no_hostile_network_breaks_a_rule)
{
    const std::uint64_t last = first_seed() + seed_count(default_hostile_seeds);
    for (std::uint64_t seed = first_seed(); seed < last; ++seed) {
        const auto violations = run_hostile_schedule(seed);
        BOOST_TEST(violations.empty(),
                   "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
