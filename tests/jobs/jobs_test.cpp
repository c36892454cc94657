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

BOOST_AUTO_TEST_SUITE(submission_table_limits)

BOOST_AUTO_TEST_SUITE(when_outcomes_exceed_the_limit)

// Guards against an evicted outcome that is reported as not run, so that a caller would submit the job again.
BOOST_AUTO_TEST_CASE(the_oldest_is_evicted_and_reported_as_run)
{
    submission_table table({1000, 100, 10min});
    table.finish(table.add(job_named("a"), start, start + 1s), complete_with(600), start);
    table.finish(table.add(job_named("b"), start, start + 1s), complete_with(600), start + 1s);
    const submission* oldest = table.find(submission_id("a"));
    BOOST_REQUIRE(oldest != nullptr);
    BOOST_TEST(!oldest->outcome);
    BOOST_TEST((oldest->eviction_answer->cause.ran == verdict::ran));
    BOOST_TEST((oldest->eviction_answer->cause.reason == refusal_reason::answer_expired));
    BOOST_TEST(table.kept_bytes() <= 1000U);
    BOOST_TEST((table.find(submission_id("b"))->outcome != nullptr));
}

// Guards against a byte count that becomes wrong when submissions expire after an eviction.
BOOST_AUTO_TEST_CASE(after_eviction_and_expiry_the_byte_count_is_zero)
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

// Guards against an eviction that changes the verdict of a failed job from may_have_run to ran.
BOOST_AUTO_TEST_CASE(eviction_preserves_the_verdict_of_a_failed_job)
{
    submission_table table({1, 100, 10min});
    auto outcome =
        std::make_shared<dispatch::job_outcome>(failed(verdict::may_have_run, refusal_reason::timed_out));
    table.finish(table.add(job_named("a"), start, start + 1s), outcome, start);
    BOOST_TEST((table.find(submission_id("a"))->eviction_answer->cause.ran == verdict::may_have_run));
}

BOOST_AUTO_TEST_SUITE_END()
