#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

/// Index of the worker that received the last start.
std::size_t started_on(const pool_fixture& f)
{
    return f.starts.back().target.worker == pool_fixture::entry(0).id ? 0 : 1;
}

/// Makes the worker of the last start unreachable: it answers neither the start nor a list.
void make_unreachable(pool_fixture& f)
{
    const start_command start = f.starts.back();
    f.get().on_start_reply(f.now(),
                           {start.target.worker, start.task, start.run, start_outcome::unanswered, {}});
    f.get().on_list_failure(f.now(), start.target.worker, list_failure::unanswered);
    f.collect_actions();
}

/// The worker of the last start confirms it with this clock, and becomes unreachable.
void confirm_and_make_unreachable(pool_fixture& f, std::int64_t clock_ms)
{
    const start_command start = f.starts.back();
    f.get().on_start_reply(f.now(),
                           {start.target.worker, start.task, start.run, start_outcome::started, clock_ms});
    f.get().on_list_failure(f.now(), start.target.worker, list_failure::unanswered);
    f.collect_actions();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leases)

BOOST_AUTO_TEST_SUITE(when_a_worker_was_idle)

// The platform protocol allows a drift of 2% of the worker's clock. Guards against a lease computed for an
// exact clock: on a slow clock the run would still be active when its task starts elsewhere.
BOOST_AUTO_TEST_CASE(the_next_start_allows_for_a_slow_clock)
{
    pool_fixture f;
    f.list(0);
    f.advance(milliseconds(9000));
    f.offer_job(pool_fixture::offer("j", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const std::int64_t slow_clock_ms = 5000 + 9000 * 98 / 100;
    BOOST_TEST(f.starts[0].lease_until_ms <= slow_clock_ms + pool_fixture::options().lease.count());
    BOOST_TEST(f.starts[0].lease_until_ms > slow_clock_ms + 500);
}

// Guards against a drift allowance that grows without bound and uses up the whole lease.
BOOST_AUTO_TEST_CASE(its_clock_is_read_every_ten_seconds)
{
    pool_fixture f;
    f.list(0);
    f.advance(milliseconds(9000));
    const std::size_t before = f.lists.size();
    f.advance(milliseconds(1500));
    BOOST_REQUIRE_EQUAL(f.lists.size(), before + 1);
    f.list(0, {}, {}, 1, 15'300);
    f.advance(milliseconds(9000));
    BOOST_TEST(f.lists.size() == before + 1);
}

// An idle worker may have restarted unnoticed, so that the command expires far ahead on its reset clock.
// Guards against a start elsewhere while the run continues under the maximum lease.
BOOST_AUTO_TEST_CASE(its_next_run_may_hold_the_maximum_lease)
{
    pool_fixture f(2);
    f.list(0);
    f.list(1);
    f.advance(milliseconds(5000));
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    make_unreachable(f);
    f.advance(milliseconds(1010));
    BOOST_TEST(f.starts.size() == 1U);
    f.advance(milliseconds(150));
    BOOST_TEST(f.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_restarts_unnoticed)

// A worker that restarted after its clock was read accepts the start on its reset clock. Guards against a
// start elsewhere while the run continues under the maximum lease (seed 1163 of the hostile schedules).
BOOST_AUTO_TEST_CASE(an_unconfirmed_run_may_hold_the_maximum_lease)
{
    pool_fixture f(2);
    f.advance(milliseconds(2000));
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    make_unreachable(f);
    f.advance(milliseconds(1010));
    BOOST_TEST(f.starts.size() == 1U);
    f.advance(milliseconds(150));
    BOOST_TEST(f.starts.size() == 2U);
}

// Guards against the same fault when the start is confirmed, by a clock that lags behind the one it was
// computed for.
BOOST_AUTO_TEST_CASE(a_run_confirmed_by_a_reset_clock_may_hold_the_maximum_lease)
{
    pool_fixture f(2);
    f.advance(milliseconds(2000));
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    confirm_and_make_unreachable(f, 4500);
    f.advance(milliseconds(1010));
    BOOST_TEST(f.starts.size() == 1U);
    f.advance(milliseconds(150));
    BOOST_TEST(f.starts.size() == 2U);
}

// Guards against tasks that wait for the maximum lease of an unreachable worker although their runs hold a
// shorter one.
BOOST_AUTO_TEST_CASE(a_run_confirmed_by_the_expected_clock_holds_the_short_lease)
{
    pool_fixture f(2);
    f.advance(milliseconds(2000));
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    confirm_and_make_unreachable(f, 5001);
    f.advance(milliseconds(700));
    BOOST_TEST(f.starts.size() == 1U);
    f.advance(milliseconds(150));
    BOOST_TEST(f.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_has_restarted)

// Ends are numbered anew in each incarnation. Guards against a finished run that is overlooked because its
// end has a number that was acknowledged to the previous incarnation, whose leases have expired meanwhile.
BOOST_AUTO_TEST_CASE(its_ends_count_from_the_beginning_also_after_its_leases_expired)
{
    pool_fixture f;
    f.list(0, {}, {{50, {job_id("gone"), 0, 0}, run_number(1), run_end::stopped}});
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    make_unreachable(f);
    f.advance(milliseconds(1200));
    f.list(0, {}, {{1, f.starts[0].task, f.starts[0].run, run_end::done}}, 2, 300);
    BOOST_TEST(f.lists.back().acknowledged == 1U);
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::completed));
}

// Guards against commands that expire far ahead on a reset clock: a late one would start a second run.
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

// Guards against the same fault when the answer to a start of the previous incarnation arrives after the
// first list.
BOOST_AUTO_TEST_CASE(an_answer_of_the_previous_incarnation_does_not_set_the_clock)
{
    pool_fixture f;
    f.list(0, {}, {}, 1, 500'000);
    f.offer_job(pool_fixture::offer("j", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const start_command start = f.starts[0];
    f.advance(milliseconds(10));
    f.list(0, {}, {}, 2, 300);
    f.get().on_start_reply(f.now(),
                           {start.target.worker, start.task, start.run, start_outcome::started, 500'001});
    f.offer_job(pool_fixture::offer("k", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
    BOOST_TEST(f.starts[1].lease_until_ms <= 300 + pool_fixture::options().lease.count());
}

// A list command for the previous incarnation may be executed by the next one. Guards against a start
// elsewhere while the run continues under the maximum lease.
BOOST_AUTO_TEST_CASE(its_runs_may_hold_the_maximum_lease)
{
    pool_fixture f(2);
    f.advance(milliseconds(1000));
    for (const std::uint64_t incarnation : {1, 2}) {
        f.list(0, {}, {}, incarnation);
        f.list(1, {}, {}, incarnation);
    }
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    make_unreachable(f);
    f.advance(milliseconds(1010));
    BOOST_TEST(f.starts.size() == 1U);
    f.advance(milliseconds(150));
    BOOST_TEST(f.starts.size() == 2U);
}

// Guards against a second run: an abandoned start is executed by the new incarnation, which has lost the
// record of the stop.
BOOST_AUTO_TEST_CASE(abandoned_starts_are_stopped_again)
{
    pool_fixture f(2);
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const start_command first = f.starts[0];
    const std::size_t index = started_on(f);
    make_unreachable(f);
    f.advance(milliseconds(1200));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
    f.stops.clear();
    f.list(index, {}, {}, 2, 300);
    BOOST_REQUIRE_EQUAL(f.stops.size(), 1U);
    BOOST_TEST((f.stops[0].target == first.target));
    BOOST_TEST((f.stops[0].run == first.run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_one_worker_has_rejected_the_token)

// Another instance holds the pool. Guards against a former holder that renews the leases of workers which the
// new holder has not reached yet (seed 90176 of the hostile schedules).
BOOST_AUTO_TEST_CASE(no_lease_is_renewed_on_the_others)
{
    pool_fixture f(2);
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 3, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 3U);
    std::vector<listed_run> running;
    for (const start_command& start : f.starts) {
        if (start.target.worker == pool_fixture::entry(1).id) {
            running.push_back({start.task, start.run, 0});
        }
    }
    BOOST_REQUIRE(!running.empty());
    f.get().on_list_failure(f.now(), pool_fixture::entry(0).id, list_failure::fenced);
    f.collect_actions();
    f.lists.clear();
    f.list(1, running);
    f.advance(milliseconds(200));
    BOOST_TEST(f.get().is_fenced());
    BOOST_TEST(f.lists.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
