#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "pool_fixture.h"
#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

namespace data = boost::unit_test::data;

constexpr std::size_t workers = 3;
// Two tasks of 14 cores, one, and none.
constexpr std::int64_t whole = 32'000;
constexpr std::int64_t half = 16'000;
constexpr std::int64_t too_small = 8'000;
constexpr std::uint64_t default_seeds = 60;
constexpr int steps = 80;
// The directory shows a change within its lag, and every task that was started before has ended.
constexpr milliseconds settled{3000};

std::uint64_t number_from(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void set_guards(virtual_site& site, bool guards)
{
    for (std::size_t i = 0; i < workers; ++i) {
        site.behaviour(i).guards_capacity = guards;
    }
}

/// Offers more jobs than the workers can run.
void press(virtual_site& site, milliseconds time)
{
    static std::uint64_t number = 0;
    for (milliseconds at{}; at < time; at += milliseconds(40)) {
        site.offer(pool_fixture::offer("p" + std::to_string(++number), 2, milliseconds(200)),
                   milliseconds(200));
        site.advance(milliseconds(40));
    }
}

std::int64_t drawn_capacity(random_source& random)
{
    const std::array<std::int64_t, 4> sizes{whole, half, too_small, 48'000};
    return sizes.at(random.below(sizes.size()));
}

milliseconds up_to(random_source& random, std::uint64_t most_ms)
{
    return milliseconds(static_cast<std::int64_t>(random.below(most_ms)));
}

std::vector<std::string> run_schedule(std::uint64_t seed, bool guards)
{
    random_source random(seed);
    virtual_site site(workers, seed);
    set_guards(site, guards);
    std::uint64_t job = 0;
    for (int step = 0; step < steps; ++step) {
        const std::uint64_t event = random.below(100);
        const std::size_t index = random.below(workers);
        if (event < 60) {
            const milliseconds work = milliseconds(60) + up_to(random, 900);
            site.offer(pool_fixture::offer("c" + std::to_string(++job),
                                           1 + static_cast<std::uint32_t>(random.below(6)), work),
                       work);
        } else if (event < 75) {
            site.set_capacity(index, drawn_capacity(random));
        } else if (event < 82) {
            site.restart_with_capacity(index, up_to(random, 2000), drawn_capacity(random));
        } else if (event < 88) {
            site.behaviour(index).unreachable = !site.behaviour(index).unreachable;
        } else if (event < 92) {
            site.behaviour(index).lost_stops = random.below(2) == 0 ? 0 : 0.8;
        } else if (event < 96) {
            site.replace_holder();
        } else {
            site.drop_former();
        }
        site.advance(up_to(random, 150));
    }
    site.advance(milliseconds(5000));
    return site.violations();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(capacity)

BOOST_AUTO_TEST_SUITE(when_it_shrinks_and_grows_while_a_worker_runs)

// Guards against starts beyond what is left, on workers that reject them and on workers that do not.
BOOST_DATA_TEST_CASE(it_bounds_what_is_started, data::make({true, false}), guards)
{
    virtual_site site(workers);
    set_guards(site, guards);
    press(site, milliseconds(1000));
    site.set_capacity(0, half);
    site.set_capacity(1, too_small);
    press(site, settled);
    const std::size_t first = site.starts_on(0);
    const std::size_t second = site.starts_on(1);
    const std::size_t third = site.starts_on(2);
    press(site, settled);
    BOOST_TEST(site.starts_on(1) == second);
    BOOST_TEST(site.starts_on(0) > first);
    // Half of the room runs about half of the tasks.
    BOOST_TEST((site.starts_on(0) - first) * 10 <= (site.starts_on(2) - third) * 6);
    BOOST_TEST(site.violations().empty(), (site.violations().empty() ? "" : site.violations().front()));
}

// Guards against a worker that stays idle after it has its capacity back.
BOOST_DATA_TEST_CASE(what_is_back_is_used, data::make({true, false}), guards)
{
    virtual_site site(workers);
    set_guards(site, guards);
    site.set_capacity(0, too_small);
    press(site, settled);
    site.set_capacity(0, whole);
    press(site, settled);
    const std::size_t first = site.starts_on(0);
    const std::size_t third = site.starts_on(2);
    press(site, settled);
    BOOST_TEST((site.starts_on(0) - first) * 10 >= (site.starts_on(2) - third) * 8);
    BOOST_TEST(site.violations().empty(), (site.violations().empty() ? "" : site.violations().front()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_is_back_as_a_smaller_one)

// Guards against starts by the capacity of its former process, which the directory still shows.
BOOST_DATA_TEST_CASE(its_former_capacity_does_not_count, data::make({true, false}), guards)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_site site(workers, seed);
        set_guards(site, guards);
        press(site, milliseconds(500));
        site.restart_with_capacity(0, milliseconds(100), half);
        press(site, settled);
        BOOST_TEST(site.violations().empty(),
                   "seed " << seed << ": " << (site.violations().empty() ? "" : site.violations().front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_workers_and_holders_fail_as_well)

// Guards against the same beside runs that are being stopped, silent workers and new holders.
BOOST_DATA_TEST_CASE(no_schedule_starts_too_much, data::make({true, false}), guards)
{
    const std::uint64_t first = number_from("POPLARSHED_FIRST_SEED", 1);
    const std::uint64_t last = first + number_from("POPLARSHED_SCHEDULE_SEEDS", default_seeds);
    for (std::uint64_t seed = first; seed < last; ++seed) {
        const auto violations = run_schedule(seed, guards);
        BOOST_TEST(violations.empty(),
                   "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
