#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

/// Index of the worker that has got the last start.
std::size_t started_on(const pool_fixture& f)
{
    return f.starts.back().target.worker == pool_fixture::entry(0).id ? 0 : 1;
}

/// The worker answers neither the last start nor any list.
void fall_silent(pool_fixture& f)
{
    const start_command start = f.starts.back();
    f.get().on_start_reply(f.now(),
                           {start.target.worker, start.task, start.run, start_outcome::unanswered, {}});
    f.get().on_list_failure(f.now(), start.target.worker, list_failure::unanswered);
    f.take();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leases)

BOOST_AUTO_TEST_SUITE(when_a_worker_was_idle)

// The platform's protocol allows 2% for the worker's clock. Guards against a run that outlives the time after
// which its task starts elsewhere: its order counted on a clock that is not slow.
BOOST_AUTO_TEST_CASE(the_next_start_allows_for_a_slow_clock)
{
    pool_fixture f;
    f.list(0);
    f.pass(milliseconds(9000));
    f.offer_job(pool_fixture::offer("j", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const std::int64_t slow_clock_ms = 5000 + 9000 * 98 / 100;
    BOOST_TEST(f.starts[0].lease_until_ms <= slow_clock_ms + pool_fixture::options().lease.count());
    BOOST_TEST(f.starts[0].lease_until_ms > slow_clock_ms + 500);
}

// Guards against an allowance for drift that grows without bound and takes the whole lease.
BOOST_AUTO_TEST_CASE(its_clock_is_read_every_ten_seconds)
{
    pool_fixture f;
    f.list(0);
    f.pass(milliseconds(9000));
    const std::size_t before = f.lists.size();
    f.pass(milliseconds(1500));
    BOOST_REQUIRE_EQUAL(f.lists.size(), before + 1);
    f.list(0, {}, {}, 1, 15'300);
    f.pass(milliseconds(9000));
    BOOST_TEST(f.lists.size() == before + 1);
}

// It may have started anew unnoticed, so that the order expires far ahead on its clock. Guards against a
// start elsewhere while the run goes on under the greatest lease.
BOOST_AUTO_TEST_CASE(its_next_run_may_hold_the_greatest_lease)
{
    pool_fixture f(2);
    f.list(0);
    f.list(1);
    f.pass(milliseconds(5000));
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    fall_silent(f);
    f.pass(milliseconds(1010));
    BOOST_TEST(f.starts.size() == 1U);
    f.pass(milliseconds(150));
    BOOST_TEST(f.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_has_started_anew)

// Guards against orders that expire far ahead on a clock that has begun anew: a late one starts a second run.
BOOST_AUTO_TEST_CASE(nothing_starts_before_its_clock_is_known)
{
    pool_fixture f;
    f.list(0, {}, {}, 1, 500'000);
    worker_entry entry = pool_fixture::entry(0);
    entry.incarnation = 2;
    f.get().on_directory(f.now(), {entry});
    f.offer_job(pool_fixture::offer("j", 1));
    BOOST_TEST(f.starts.empty());
    f.list(0, {}, {}, 2, 300);
    f.offer_job(pool_fixture::offer("k", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    BOOST_TEST(f.starts[0].lease_until_ms <= 300 + pool_fixture::options().lease.count());
}

// Guards against the same where the answer to a start of the earlier life comes after the first list.
BOOST_AUTO_TEST_CASE(an_answer_of_the_earlier_life_does_not_set_the_clock)
{
    pool_fixture f;
    f.list(0, {}, {}, 1, 500'000);
    f.offer_job(pool_fixture::offer("j", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const start_command start = f.starts[0];
    f.pass(milliseconds(10));
    f.list(0, {}, {}, 2, 300);
    f.get().on_start_reply(f.now(),
                           {start.target.worker, start.task, start.run, start_outcome::started, 500'001});
    f.offer_job(pool_fixture::offer("k", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
    BOOST_TEST(f.starts[1].lease_until_ms <= 300 + pool_fixture::options().lease.count());
}

// A list order of the earlier life may be carried out by the next one. Guards against a start elsewhere while
// the run goes on under the greatest lease.
BOOST_AUTO_TEST_CASE(its_runs_may_hold_the_greatest_lease)
{
    pool_fixture f(2);
    f.pass(milliseconds(1000));
    for (const std::uint64_t life : {1, 2}) {
        f.list(0, {}, {}, life);
        f.list(1, {}, {}, life);
    }
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    fall_silent(f);
    f.pass(milliseconds(1010));
    BOOST_TEST(f.starts.size() == 1U);
    f.pass(milliseconds(150));
    BOOST_TEST(f.starts.size() == 2U);
}

// Guards against a second run by a start that was given up and is carried out by the new life, which has
// forgotten the stop.
BOOST_AUTO_TEST_CASE(starts_that_were_given_up_are_stopped_again)
{
    pool_fixture f(2);
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const start_command first = f.starts[0];
    const std::size_t index = started_on(f);
    fall_silent(f);
    f.pass(milliseconds(1200));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
    f.stops.clear();
    f.list(index, {}, {}, 2, 300);
    BOOST_REQUIRE_EQUAL(f.stops.size(), 1U);
    BOOST_TEST((f.stops[0].target == first.target));
    BOOST_TEST((f.stops[0].run == first.run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
