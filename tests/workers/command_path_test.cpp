#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

void observe(command_path& path, int count, milliseconds answer_time)
{
    for (int i = 0; i < count; ++i) {
        path.observe(answer_time);
    }
}

/// Answers all starts of the fixture that have not been answered.
void answer_starts(pool_fixture& f)
{
    const auto starts = std::exchange(f.starts, {});
    for (const start_command& start : starts) {
        f.get().on_start_reply(f.now(),
                               {start.target.worker, start.task, start.run, start_outcome::started, {}});
    }
    f.collect_actions();
}

/// A pool of 40 workers that has just received the answers to its 32 starts, after 300 ms.
struct slow_pool : pool_fixture {
    static constexpr std::size_t workers = 40;

    slow_pool() : pool_fixture(workers)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            list(i);
        }
        offer_job(offer("slow", 32, milliseconds(2000)));
        BOOST_REQUIRE_EQUAL(starts.size(), 32U);
        advance(milliseconds(300));
        answer_starts(*this);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(path_of_commands)

// Guards against limits that apply while nothing is overloaded.
BOOST_AUTO_TEST_CASE(nothing_is_limited_while_answers_are_fast)
{
    command_path path;
    const std::size_t window = path.window();
    observe(path, 100, milliseconds(20));
    BOOST_TEST(path.window() == window);
    BOOST_TEST((path.patience(milliseconds(80)) == milliseconds(80)));
}

// Guards against a few workers that answer nothing and slow down the starts on all others.
BOOST_AUTO_TEST_CASE(a_minority_of_silent_workers_changes_nothing)
{
    command_path path;
    for (int i = 0; i < 100; ++i) {
        path.observe(i % 3 == 0 ? milliseconds(80) : milliseconds(3));
    }
    BOOST_TEST((path.patience(milliseconds(80)) == milliseconds(80)));
    BOOST_TEST((path.typical_answer_time() == milliseconds(3)));
}

BOOST_AUTO_TEST_SUITE(when_most_answers_are_slow)

// Load pattern: a link that is full. Guards against starts that are given up while their answers are on the
// way: each costs a connection, a stop and another start, and fills the link further.
BOOST_AUTO_TEST_CASE(answers_are_waited_for_longer)
{
    command_path path;
    observe(path, 32, milliseconds(80));
    BOOST_TEST((path.patience(milliseconds(80)) > milliseconds(200)));
    observe(path, 32, milliseconds(400));
    BOOST_TEST((path.patience(milliseconds(80)) <= milliseconds(400)));
}

// Guards against starts that wait in the buffers of connections, where nothing can refuse them in time.
BOOST_AUTO_TEST_CASE(fewer_starts_wait_for_an_answer)
{
    command_path path;
    const std::size_t usual = path.window();
    observe(path, 32, milliseconds(80));
    BOOST_TEST(path.window() < usual / 8);
    observe(path, 32, milliseconds(2000));
    BOOST_TEST(path.window() >= 1U);
}

BOOST_AUTO_TEST_CASE(the_usual_limits_return_with_fast_answers)
{
    command_path path;
    const std::size_t usual = path.window();
    observe(path, 32, milliseconds(300));
    observe(path, 17, milliseconds(5));
    BOOST_TEST(path.window() == usual);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_pool_starts_many_tasks_on_a_slow_path)

// Load pattern: a burst of jobs while answers take 300 ms. Guards against the collapse of a fleet of small
// machines on narrow links, in which holders sent more starts the fewer were answered.
BOOST_AUTO_TEST_CASE(the_others_wait_in_the_pool_and_the_load_shows_no_room)
{
    slow_pool f;
    BOOST_TEST(f.get().load(f.now()).free_cpu > 0);
    f.offer_job(pool_fixture::offer("next", 32, milliseconds(2000)));
    BOOST_TEST(f.starts.size() < 32U);
    BOOST_TEST(!f.starts.empty());
    BOOST_TEST(f.get().load(f.now()).free_cpu == 0);
    const std::size_t sent = f.starts.size();
    answer_starts(f);
    BOOST_TEST(!f.starts.empty());
    BOOST_TEST(f.starts.size() <= sent);
}

// Guards against a pool that refuses short jobs for ever after a slow time: it observes answers only while it
// starts tasks.
BOOST_AUTO_TEST_CASE(short_jobs_are_taken_again_when_all_starts_are_answered)
{
    slow_pool f;
    f.offer_job(pool_fixture::offer("short", 1, milliseconds(60)));
    BOOST_TEST(f.results.empty());
    BOOST_TEST(f.starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
