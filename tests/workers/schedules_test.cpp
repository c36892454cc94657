#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "pool_fixture.h"
#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t default_seeds = 150;
constexpr int steps = 60;

/// Long runs by hand set POPLARSHED_SCHEDULE_SEEDS.
std::uint64_t seed_count()
{
    const char* text = std::getenv("POPLARSHED_SCHEDULE_SEEDS");
    return text == nullptr ? default_seeds : std::strtoull(text, nullptr, 10);
}

/// One random schedule: jobs, silent and crashing workers, late starts, and holders that are replaced while
/// the former one goes on.
std::vector<std::string> run_schedule(std::uint64_t seed)
{
    random_source random(seed);
    virtual_site site(4, seed);
    std::uint64_t job = 0;
    for (int step = 0; step < steps; ++step) {
        const std::uint64_t event = random.below(100);
        const std::size_t index = random.below(4);
        if (event < 60) {
            const milliseconds work(60 + static_cast<std::int64_t>(random.below(700)));
            site.offer(pool_fixture::offer("s" + std::to_string(seed) + "-" + std::to_string(++job),
                                           1 + static_cast<std::uint32_t>(random.below(4)), work),
                       work);
        } else if (event < 70) {
            site.behaviour(index).silent = !site.behaviour(index).silent;
        } else if (event < 74) {
            site.crash_worker(index);
        } else if (event < 80) {
            site.behaviour(index).late_share = random.below(2) == 0 ? 0 : 0.3;
        } else if (event < 85) {
            site.behaviour(index).slowness = random.below(2) == 0 ? 1 : 6;
        } else if (event < 89) {
            site.replace_holder();
        } else if (event < 93) {
            site.drop_former();
        }
        site.advance(milliseconds(static_cast<std::int64_t>(random.below(150))));
    }
    for (std::size_t i = 0; i < 4; ++i) {
        site.behaviour(i) = {};
    }
    site.advance(milliseconds(8000));
    std::vector<std::string> violations = site.violations();
    if (site.outcomes().size() != job) {
        violations.push_back(std::to_string(job - site.outcomes().size()) + " jobs without an answer");
    }
    return violations;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(schedules)

// Guards against two runs of a task at one time, refusals after a start, and jobs that get no answer.
BOOST_AUTO_TEST_CASE(no_random_schedule_breaks_a_rule)
{
    const std::uint64_t last = first_seed + seed_count();
    for (std::uint64_t seed = first_seed; seed < last; ++seed) {
        const auto violations = run_schedule(seed);
        BOOST_TEST(violations.empty(),
                   "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
