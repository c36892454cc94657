#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

job_offer numbered(std::uint64_t number)
{
    job_offer value = pool_fixture::offer("j", 1);
    value.number = offer_number(number);
    return value;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(offers_of_a_job)

BOOST_AUTO_TEST_SUITE(when_the_job_is_offered_again)

// Guards against an owner that takes the answer to its first offer for the answer to the second.
BOOST_AUTO_TEST_CASE(the_answer_names_the_later_offer)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(numbered(1));
    f.offer_job(numbered(2));
    BOOST_TEST(f.starts.size() == 1U);
    const start_order start = f.starts.at(0);
    f.list(0, {}, {{1, start.task, start.run, run_end::done}});
    BOOST_TEST(f.results.size() == 1U);
    BOOST_TEST((f.results.at(0).number == offer_number(2)));
}

// Guards against a cancel that was held up, and ends the job under the offer that came after it.
BOOST_AUTO_TEST_CASE(the_cancel_of_the_first_offer_is_ignored)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(numbered(1));
    f.offer_job(numbered(2));
    f.get().on_cancel(f.now(), {job_id("j"), endpoint("10.0.0.2:1"), offer_number(1)});
    BOOST_TEST(f.get().job_count() == 1U);
    f.get().on_cancel(f.now(), {job_id("j"), endpoint("10.0.0.2:1"), offer_number(2)});
    BOOST_TEST(f.get().job_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
