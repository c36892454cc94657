#include <boost/test/unit_test.hpp>

#include "jobs/jobs.h"

using namespace poplarshed;
using namespace poplarshed::jobs;
using namespace std::chrono_literals;

namespace {

const time_point start{};

job_submission job_named(const std::string& name)
{
    return {submission_id(name), service_id("hold"), workspace_id("desk"), {}, digest::of(name), {}, false};
}

shared_outcome complete_with(std::size_t bytes)
{
    return std::make_shared<dispatch::job_outcome>(dispatch::job_complete{{std::string(bytes, 'x')}});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(submission_table_story)

BOOST_AUTO_TEST_SUITE(when_answers_exceed_their_bound)

// Guards against an evicted answer that is reported as never run, which would invite a second start.
BOOST_AUTO_TEST_CASE(the_oldest_answers_that_it_ran)
{
    submission_table table({1000, 100, 10min});
    table.finish(table.add(job_named("a"), start, start + 1s), complete_with(600), start);
    table.finish(table.add(job_named("b"), start, start + 1s), complete_with(600), start + 1s);
    const submission* oldest = table.find(submission_id("a"));
    BOOST_REQUIRE(oldest != nullptr);
    BOOST_TEST(!oldest->outcome);
    BOOST_TEST((oldest->evicted->cause.ran == verdict::ran));
    BOOST_TEST((oldest->evicted->cause.reason == refusal_reason::answer_expired));
    BOOST_TEST(table.kept_bytes() <= 1000U);
    BOOST_TEST((table.find(submission_id("b"))->outcome != nullptr));
}

// Guards against bookkeeping of the bound that drifts when entries expire after an eviction.
BOOST_AUTO_TEST_CASE(expiry_after_an_eviction_leaves_no_bytes_behind)
{
    submission_table table({1000, 3, 10min});
    for (int i = 0; i < 20; ++i) {
        const time_point now = start + seconds(i);
        table.finish(table.add(job_named(std::to_string(i)), now, now + 1s), complete_with(400), now);
    }
    BOOST_TEST(table.size() == 3U);
    table.expire(start + 20min);
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.kept_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a failed job whose eviction turns "may have run" into "ran".
BOOST_AUTO_TEST_CASE(an_evicted_failure_keeps_its_verdict)
{
    submission_table table({1, 100, 10min});
    auto outcome =
        std::make_shared<dispatch::job_outcome>(failed(verdict::may_have_run, refusal_reason::timed_out));
    table.finish(table.add(job_named("a"), start, start + 1s), outcome, start);
    BOOST_TEST((table.find(submission_id("a"))->evicted->cause.ran == verdict::may_have_run));
}

BOOST_AUTO_TEST_SUITE_END()
