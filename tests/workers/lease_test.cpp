#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

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

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
