#include <boost/test/unit_test.hpp>
#include <set>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

constexpr std::size_t workers = 4;
// Longer than any lease, and shorter than a silence waits for its explanation.
constexpr milliseconds lapse{1200};
constexpr milliseconds step{20};

job_offer lasting_offer(const std::string& id, std::uint32_t tasks)
{
    job_offer offer = pool_fixture::offer(id, tasks, milliseconds(60));
    offer.objective = milliseconds(20'000);
    offer.deadline = milliseconds(20'000);
    return offer;
}

/// Four idle workers that have been listed.
struct fixture : pool_fixture {
    fixture() : pool_fixture(workers)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            list(i);
        }
    }

    /// The last start is confirmed, and its worker falls silent until the lease has lapsed.
    worker_id lose_silently()
    {
        const start_command start = starts.back();
        confirm(start);
        fail_list(start.target.worker, list_failure::unanswered);
        pass(lapse);
        return start.target.worker;
    }

    /// The last start is confirmed, and its worker refuses connections until the lease has lapsed.
    worker_id lose_refusing()
    {
        const start_command start = starts.back();
        confirm(start);
        fail_list(start.target.worker, list_failure::connection_refused);
        pass(lapse);
        return start.target.worker;
    }

    /// The same, and another worker has the address then.
    worker_id crash()
    {
        worker_id crashed = lose_refusing();
        fail_list(crashed, list_failure::other_incarnation);
        advance(step);
        return crashed;
    }

    void pass(milliseconds time)
    {
        for (milliseconds passed{}; passed < time; passed += step) {
            advance(step);
        }
    }

    std::size_t index_of(const worker_id& id) const
    {
        std::size_t index = 0;
        while (entry(index).id != id) {
            ++index;
        }
        return index;
    }

    /// Crashes that the pool has reported.
    std::ptrdiff_t crash_count() const
    {
        return std::count_if(losses.begin(), losses.end(), [](const job_losses& report) {
            return report.losses[0].cause == loss_cause::crash;
        });
    }

    bool has_failed() const { return !results.empty() && results.back().end == job_end::failed; }
};

/// Eight idle workers that have been listed.
struct site_of_eight : pool_fixture {
    site_of_eight() : pool_fixture(8)
    {
        for (std::size_t i = 0; i < 8; ++i) {
            list(i);
        }
    }

    void pass(milliseconds time)
    {
        for (milliseconds passed{}; passed < time; passed += step) {
            advance(step);
        }
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(crashes)

BOOST_AUTO_TEST_SUITE(when_a_connection_to_a_worker_is_refused)

// Guards against two runs of a task at one time: a cut may refuse connections while the worker runs on.
BOOST_FIXTURE_TEST_CASE(its_runs_keep_their_lease, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    fail_list(start.target.worker, list_failure::connection_refused);
    pass(milliseconds(700));
    BOOST_TEST(starts.size() == 1U);
    pass(lapse);
    BOOST_TEST(starts.size() == 2U);
}

// Guards against such a cut that counts as a crash.
BOOST_FIXTURE_TEST_CASE(it_has_not_crashed_if_the_same_process_answers_again, fixture)
{
    offer_job(lasting_offer("j", 1));
    const worker_id lost = lose_refusing();
    list(index_of(lost));
    advance(step);
    BOOST_TEST(crash_count() == 0);
    lose_refusing();
    // Until the worker counts as lost, it takes the place of those that may crash.
    pass(milliseconds(4000));
    BOOST_TEST(starts.size() == 3U);
    BOOST_TEST(!has_failed());
}

// Guards against a loss that is gone with its holder, and a next start beside other tasks.
BOOST_FIXTURE_TEST_CASE(all_instances_know_before_the_lease_has_lapsed, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    fail_list(start.target.worker, list_failure::connection_refused);
    pass(milliseconds(400));
    BOOST_REQUIRE_EQUAL(losses.size(), 1U);
    BOOST_TEST(
        (losses[0] == job_losses{job_id("j"), {{0, 0, start.target.worker, 1, loss_cause::disconnected}}}));
    BOOST_TEST(starts.size() == 1U);
}

// Guards against a loss that a former holder has not reported when the next one starts the task.
BOOST_FIXTURE_TEST_CASE(a_hand_over_tells_of_it_at_once, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    fail_list(start.target.worker, list_failure::connection_refused);
    get().hand_over(now());
    collect_actions();
    BOOST_REQUIRE_EQUAL(losses.size(), 1U);
    BOOST_TEST((losses[0].losses[0].cause == loss_cause::disconnected));
}

// Guards against a connection that was reset and counts as a lost worker.
BOOST_FIXTURE_TEST_CASE(nobody_is_told_if_it_answers_again, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    fail_list(start.target.worker, list_failure::connection_lost);
    list(index_of(start.target.worker), {{start.task, start.run, 0}});
    pass(milliseconds(400));
    BOOST_TEST(losses.empty());
}

// Guards against a crash that nobody counts.
BOOST_FIXTURE_TEST_CASE(it_has_crashed_if_another_worker_has_its_address, fixture)
{
    offer_job(lasting_offer("j", 1));
    const worker_id crashed = crash();
    BOOST_REQUIRE_EQUAL(crash_count(), 1);
    BOOST_TEST((losses.back() == job_losses{job_id("j"), {{0, 0, crashed, 1, loss_cause::crash}}}));
}

// Guards against a third start, and against a caller that waits for an answer that is known.
BOOST_FIXTURE_TEST_CASE(the_second_time_the_job_fails_at_once, fixture)
{
    offer_job(lasting_offer("j", 1));
    crash();
    const worker_id second = lose_refusing();
    BOOST_TEST(!has_failed());
    fail_list(second, list_failure::other_incarnation);
    BOOST_REQUIRE(has_failed());
    BOOST_TEST((results.back().reason == refusal_reason::attempts_exhausted));
    BOOST_TEST(results.back().may_have_run);
    pass(lapse);
    BOOST_TEST(starts.size() == 2U);
}

// Guards against a failed job after workers that left as announced.
BOOST_FIXTURE_TEST_CASE(a_worker_that_had_announced_its_end_has_not_crashed, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    change_directory(workers, [&](auto& entries) { entries[index_of(start.target.worker)].draining = true; });
    fail_list(start.target.worker, list_failure::connection_refused);
    pass(lapse);
    fail_list(start.target.worker, list_failure::other_incarnation);
    BOOST_TEST(starts.size() == 2U);
    BOOST_TEST(crash_count() == 0);
}

// Guards against innocent jobs that wait for a worker of their own after a rack was lost.
BOOST_FIXTURE_TEST_CASE(several_at_once_are_no_fault_of_a_task, fixture)
{
    for (const char* const id : {"j", "k", "l"}) {
        offer_job(lasting_offer(id, 2));
    }
    for (const start_command& start : std::vector<start_command>(starts)) {
        confirm(start);
    }
    std::set<worker_id> lost;
    for (const start_command& start : starts) {
        lost.insert(start.target.worker);
    }
    BOOST_REQUIRE_EQUAL(lost.size(), 3U);
    for (const worker_id& id : lost) {
        fail_list(id, list_failure::connection_refused);
    }
    pass(lapse);
    // One worker is left: two tasks fit.
    BOOST_TEST(starts.size() == 8U);
}

// Guards against the same for jobs with tasks on several of the workers that were lost.
BOOST_FIXTURE_TEST_CASE(nor_of_a_job_that_ran_on_several_of_them, site_of_eight)
{
    offer_job(lasting_offer("j", 8));
    offer_job(lasting_offer("k", 8));
    for (std::uint64_t round = 0; round < 2; ++round) {
        for (const start_command& start : std::vector<start_command>(starts)) {
            confirm(start);
        }
        for (std::size_t i = 0; i < 8; ++i) {
            fail_list(entry(i).id, list_failure::connection_refused);
        }
        pass(lapse);
        for (std::size_t i = 0; i < 8; ++i) {
            list(i, {}, {}, round + 2);
        }
        advance(step);
    }
    BOOST_TEST(losses.empty());
    BOOST_TEST(results.empty());
}

// Guards against tasks whose crashes are not counted since other such tasks crash workers a little later.
BOOST_FIXTURE_TEST_CASE(crashes_one_after_the_other_are, site_of_eight)
{
    for (const char* const id : {"j", "k", "l"}) {
        offer_job(lasting_offer(id, 2));
    }
    for (const start_command& start : std::vector<start_command>(starts)) {
        confirm(start);
    }
    std::set<worker_id> lost;
    for (const start_command& start : starts) {
        lost.insert(start.target.worker);
    }
    for (const worker_id& id : lost) {
        fail_list(id, list_failure::connection_refused);
        advance(milliseconds(60));
    }
    pass(milliseconds(100));
    BOOST_TEST(losses.size() == 6U);
}

// Guards against a task that is started for ever, since others crash workers whenever it does.
BOOST_FIXTURE_TEST_CASE(a_task_is_started_five_times_at_most, fixture)
{
    for (const char* const id : {"j", "k", "l"}) {
        offer_job(lasting_offer(id, 2));
    }
    for (int round = 0; round < 12; ++round) {
        for (const start_command& start : std::vector<start_command>(starts)) {
            confirm(start);
        }
        for (std::size_t i = 0; i < workers; ++i) {
            fail_list(entry(i).id, list_failure::connection_refused);
        }
        pass(lapse);
        for (std::size_t i = 0; i < workers; ++i) {
            list(i, {}, {}, static_cast<std::uint64_t>(round) + 2);
        }
        advance(step);
    }
    std::map<task_ref, std::size_t> count;
    for (const start_command& start : starts) {
        ++count[start.task];
    }
    for (const auto& [ref, started] : count) {
        BOOST_TEST(started <= 5U, ref.job.value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_answers_as_another_process)

// Guards against a crash that is too short to be noticed.
BOOST_FIXTURE_TEST_CASE(its_runs_count_as_crashed, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    const std::size_t index = index_of(start.target.worker);
    list(index, {{start.task, start.run, 0}});
    list(index, {}, {}, 2);
    BOOST_REQUIRE_EQUAL(crash_count(), 1);
    BOOST_TEST((losses.back().losses[0] == task_loss{0, 0, start.target.worker, 1, loss_cause::crash}));
}

// Guards against a start that only the next process has executed, and that counts as what the former one ran.
BOOST_FIXTURE_TEST_CASE(a_late_start_that_it_runs_has_not_crashed_it, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    list(index_of(start.target.worker), {{start.task, start.run, 0}}, {}, 2);
    BOOST_TEST(crash_count() == 0);
}

// Guards against a planned restart that is taken for a crash.
BOOST_FIXTURE_TEST_CASE(it_has_not_crashed_if_it_had_announced_its_end, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    const std::size_t index = index_of(start.target.worker);
    change_directory(workers, [index](auto& entries) {
        entries[index].draining = true;
        entries[index].incarnation = 1;
    });
    change_directory(workers, [index](auto& entries) { entries[index].incarnation = 2; });
    list(index, {}, {}, 2);
    BOOST_TEST(crash_count() == 0);
}

// Guards against the same where another worker has the address.
BOOST_FIXTURE_TEST_CASE(the_same_holds_for_another_worker_at_its_address, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    fail_list(start.target.worker, list_failure::other_incarnation);
    BOOST_TEST(crash_count() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_falls_silent)

// Guards against a cut or a frozen machine that counts as a crash.
BOOST_FIXTURE_TEST_CASE(it_has_not_crashed_if_the_same_process_answers_again, fixture)
{
    offer_job(lasting_offer("j", 1));
    const worker_id silent = lose_silently();
    list(index_of(silent));
    pass(lapse);
    BOOST_TEST(crash_count() == 0);
    BOOST_TEST(starts.size() == 2U);
}

// Guards against a job that fails since workers behind a cut were restarted: no crash, and still a loss.
BOOST_FIXTURE_TEST_CASE(a_restart_meanwhile_is_no_proof_of_a_crash, fixture)
{
    offer_job(lasting_offer("j", 1));
    for (int i = 0; i < 2; ++i) {
        const worker_id silent = lose_silently();
        list(index_of(silent), {}, {}, 2);
    }
    BOOST_TEST(crash_count() == 0);
    BOOST_TEST(!has_failed());
    BOOST_TEST(starts.size() == 2U);
    pass(milliseconds(5000));
    BOOST_REQUIRE_EQUAL(starts.size(), 3U);
    lose_silently();
    BOOST_TEST(has_failed());
}

// Guards against a crash that is proved only when the worker is back.
BOOST_FIXTURE_TEST_CASE(it_has_crashed_if_it_had_closed_its_connections, fixture)
{
    offer_job(lasting_offer("j", 1));
    const worker_id lost = lose_refusing();
    BOOST_TEST(crash_count() == 0);
    list(index_of(lost), {}, {}, 2);
    BOOST_TEST(crash_count() == 1);
}

// Guards against one worker after the other while nobody knows whether they have crashed.
BOOST_FIXTURE_TEST_CASE(the_third_start_waits_for_an_explanation, fixture)
{
    offer_job(lasting_offer("j", 1));
    const worker_id first = lose_silently();
    lose_silently();
    BOOST_TEST(starts.size() == 2U);
    list(index_of(first));
    advance(step);
    BOOST_TEST(starts.size() == 3U);
}

// Guards against a job that waits for ever, and against a fourth start.
BOOST_FIXTURE_TEST_CASE(without_one_the_third_is_the_last, fixture)
{
    offer_job(lasting_offer("j", 1));
    lose_silently();
    lose_silently();
    pass(milliseconds(5000));
    BOOST_REQUIRE_EQUAL(starts.size(), 3U);
    lose_silently();
    BOOST_TEST(has_failed());
    BOOST_TEST(starts.size() == 3U);
}

// Guards against a lapse that the worker itself reports, after a cut, and that counts as a crash.
BOOST_FIXTURE_TEST_CASE(a_lapse_that_it_reports_is_not_a_crash, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    list(index_of(start.target.worker), {}, {{1, start.task, start.run, run_end::lapsed}});
    BOOST_TEST(crash_count() == 0);
    BOOST_TEST(starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_task_has_lost_a_worker)

// Guards against jobs that are lost with a worker which the task crashes again.
BOOST_FIXTURE_TEST_CASE(it_runs_alone, fixture)
{
    offer_job(lasting_offer("j", 1));
    lose_refusing();
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    const worker_id used = starts[1].target.worker;
    offer_job(lasting_offer("k", 8));
    for (std::size_t i = 2; i < starts.size(); ++i) {
        BOOST_TEST((starts[i].target.worker != used));
    }
    BOOST_TEST(starts.size() == 6U);
}

// Guards against the same after a crash that closes connections and refuses none.
BOOST_FIXTURE_TEST_CASE(it_runs_alone_if_the_connection_was_lost, fixture)
{
    offer_job(lasting_offer("j", 1));
    const start_command start = starts.back();
    confirm(start);
    fail_list(start.target.worker, list_failure::connection_lost);
    pass(lapse);
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    const worker_id used = starts[1].target.worker;
    offer_job(lasting_offer("k", 8));
    BOOST_TEST(starts.size() == 6U);
    BOOST_TEST(std::none_of(starts.begin() + 2, starts.end(),
                            [&](const start_command& other) { return other.target.worker == used; }));
}

// Guards against a suspected task that never gets a worker for itself while others want them, too.
BOOST_FIXTURE_TEST_CASE(a_worker_is_kept_free_for_it, fixture)
{
    offer_job(lasting_offer("j", 1));
    offer_job(lasting_offer("k", 20));
    BOOST_REQUIRE_EQUAL(starts.size(), 8U);
    const start_command suspect = starts[0];
    for (const start_command& start : std::vector<start_command>(starts)) {
        confirm(start);
    }
    fail_list(suspect.target.worker, list_failure::other_incarnation);
    advance(step);
    const std::size_t before = starts.size();
    std::map<worker_id, std::vector<start_command>> running;
    for (const start_command& start : starts) {
        running[start.target.worker].push_back(start);
    }
    running.erase(suspect.target.worker);
    // Every run ends, on one worker after the other.
    for (const auto& [id, runs] : running) {
        std::vector<listed_end> ended;
        for (const start_command& start : runs) {
            ended.push_back({ended.size() + 1, start.task, start.run, run_end::done});
        }
        list(index_of(id), {}, ended);
    }
    const auto again = std::find_if(starts.begin() + static_cast<std::ptrdiff_t>(before), starts.end(),
                                    [](const start_command& start) { return start.task.job == job_id("j"); });
    BOOST_REQUIRE(again != starts.end());
    const auto beside = std::count_if(
        starts.begin() + static_cast<std::ptrdiff_t>(before), starts.end(),
        [&](const start_command& start) { return start.target.worker == again->target.worker; });
    BOOST_TEST(beside == 1);
}

// Guards against a job that is tried alone, or fails, since it shared its first worker with a task that
// crashes workers.
BOOST_FIXTURE_TEST_CASE(a_neighbour_is_cleared_when_the_cause_is_known, fixture)
{
    const auto only_first = [](auto& entries) {
        for (std::size_t i = 1; i < workers; ++i) {
            entries[i].draining = true;
        }
    };
    change_directory(workers, only_first);
    offer_job(lasting_offer("neighbour", 1));
    advance(step);
    offer_job(lasting_offer("culprit", 1));
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    confirm(starts[0]);
    confirm(starts[1]);
    change_directory(workers, [](auto& /*entries*/) {});
    fail_list(entry(0).id, list_failure::other_incarnation);
    advance(step);
    // The one that was started last is the first suspect; the other waits for the verdict.
    BOOST_REQUIRE_EQUAL(starts.size(), 3U);
    BOOST_TEST((starts[2].task.job == job_id("culprit")));
    confirm(starts[2]);
    fail_list(starts[2].target.worker, list_failure::other_incarnation);
    advance(step);
    BOOST_TEST(has_failed());
    BOOST_REQUIRE_EQUAL(starts.size(), 4U);
    BOOST_TEST((starts[3].task.job == job_id("neighbour")));
    offer_job(lasting_offer("k", 3));
    const auto beside = std::count_if(starts.begin() + 4, starts.end(), [this](const start_command& start) {
        return start.target.worker == starts[3].target.worker;
    });
    BOOST_TEST(beside == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_offer_names_crashes)

// Guards against a count that begins anew at the next holder, in another pool or for another owner.
BOOST_FIXTURE_TEST_CASE(they_count, fixture)
{
    job_offer offer = lasting_offer("j", 2);
    offer.losses = {{0, 1, worker_id("x"), 5, loss_cause::crash}};
    offer_job(offer);
    confirm(starts.back());
    const auto suspect = std::find_if(starts.begin(), starts.end(),
                                      [](const start_command& start) { return start.task.index == 1; });
    BOOST_REQUIRE(suspect != starts.end());
    confirm(*suspect);
    fail_list(suspect->target.worker, list_failure::other_incarnation);
    BOOST_TEST(has_failed());
}

// Guards against a start of a task that has crashed two workers already, after the answer was lost.
BOOST_FIXTURE_TEST_CASE(a_job_that_has_failed_is_not_started_again, fixture)
{
    job_offer offer = lasting_offer("j", 2);
    offer.losses = {{0, 1, worker_id("x"), 5, loss_cause::crash},
                    {0, 1, worker_id("y"), 5, loss_cause::crash, true}};
    offer_job(offer);
    BOOST_TEST(starts.empty());
    BOOST_TEST(has_failed());
}

// Guards against the same after losses of which no crash is proved.
BOOST_FIXTURE_TEST_CASE(a_job_that_has_lost_three_workers_is_not_started_again, fixture)
{
    job_offer offer = lasting_offer("j", 2);
    offer.losses = {{0, 1, worker_id("x"), 5, loss_cause::crash},
                    {0, 1, worker_id("y"), 5, loss_cause::unknown},
                    {0, 1, worker_id("z"), 5, loss_cause::disconnected}};
    offer_job(offer);
    BOOST_TEST(starts.empty());
    BOOST_TEST(has_failed());
}

// Guards against a next holder that starts the task beside others.
BOOST_FIXTURE_TEST_CASE(a_lost_connection_makes_the_task_run_alone, fixture)
{
    job_offer offer = lasting_offer("j", 1);
    offer.losses = {{0, 0, worker_id("x"), 5, loss_cause::disconnected}};
    offer_job(offer);
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    const worker_id used = starts[0].target.worker;
    offer_job(lasting_offer("k", 8));
    BOOST_TEST(starts.size() == 7U);
    BOOST_TEST(std::none_of(starts.begin() + 1, starts.end(),
                            [&](const start_command& other) { return other.target.worker == used; }));
}

// Guards against a crash whose proof comes after the holder that has reported the loss is gone.
BOOST_FIXTURE_TEST_CASE(a_worker_that_has_restarted_since_has_crashed, fixture)
{
    job_offer offer = lasting_offer("j", 1);
    offer.losses = {{0, 0, entry(0).id, 1, loss_cause::disconnected, true}};
    fail_list(entry(0).id, list_failure::connection_refused);
    offer_job(offer);
    list(0, {}, {}, 2);
    BOOST_REQUIRE_EQUAL(losses.size(), 1U);
    BOOST_TEST((losses[0] == job_losses{job_id("j"), {{0, 0, entry(0).id, 1, loss_cause::crash, true}}}));
}

// Guards against the same where the new holder has listed the worker before it gets the job.
BOOST_FIXTURE_TEST_CASE(so_has_one_that_had_restarted_before, fixture)
{
    list(0, {}, {}, 2);
    losses.clear();
    job_offer offer = lasting_offer("j", 1);
    offer.losses = {{0, 0, entry(0).id, 1, loss_cause::disconnected}};
    offer_job(offer);
    BOOST_TEST(crash_count() == 1);
}

// Guards against a start of a task whose second crash only the new holder can prove.
BOOST_FIXTURE_TEST_CASE(the_job_fails_at_once_if_that_is_the_second_crash, fixture)
{
    list(0, {}, {}, 2);
    job_offer offer = lasting_offer("j", 1);
    offer.losses = {{0, 0, entry(0).id, 1, loss_cause::disconnected, true},
                    {0, 0, worker_id("x"), 5, loss_cause::crash}};
    offer_job(offer);
    BOOST_TEST(has_failed());
    BOOST_TEST(starts.empty());
}

// Guards against a cut that the new holder takes for a crash.
BOOST_FIXTURE_TEST_CASE(the_same_process_has_survived, fixture)
{
    job_offer offer = lasting_offer("j", 1);
    offer.losses = {{0, 0, entry(0).id, 1, loss_cause::disconnected}};
    fail_list(entry(0).id, list_failure::connection_refused);
    offer_job(offer);
    list(0);
    BOOST_REQUIRE_EQUAL(losses.size(), 1U);
    BOOST_TEST((losses[0].losses[0].cause == loss_cause::survived));
}

// Guards against crashes of two tasks that are added up, and one crash that two instances have reported.
BOOST_FIXTURE_TEST_CASE(each_counts_once_and_for_its_task, fixture)
{
    job_offer offer = lasting_offer("j", 2);
    offer.losses = {{0, 0, worker_id("x"), 5, loss_cause::crash},
                    {0, 1, worker_id("y"), 5, loss_cause::crash}};
    offer_job(offer);
    get().on_losses(now(), job_id("j"), {{0, 1, worker_id("y"), 5, loss_cause::crash}});
    collect_actions();
    BOOST_TEST(!has_failed());
    get().on_losses(now(), job_id("j"), {{0, 1, worker_id("y"), 6, loss_cause::crash}});
    collect_actions();
    // Two crashes beside others may be a coincidence.
    BOOST_TEST(!has_failed());
    get().on_losses(now(), job_id("j"), {{0, 1, worker_id("y"), 6, loss_cause::crash, true}});
    collect_actions();
    BOOST_TEST(has_failed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_jobs_have_ended)

// Guards against a count that is lost with the job, and against memory without bound.
BOOST_AUTO_TEST_CASE(their_crashes_are_remembered_for_some_time)
{
    loss_ledger ledger;
    const time_point start{seconds(1000)};
    const task_loss one{0, 0, worker_id("x"), 5, loss_cause::crash};
    BOOST_TEST(ledger.add(start, job_id("j"), {one}));
    BOOST_TEST(!ledger.add(start, job_id("j"), {one}));
    BOOST_TEST((ledger.find(job_id("j")) == std::vector<task_loss>{one}));
    for (int i = 0; i < 20'000; ++i) {
        ledger.add(start + milliseconds(i), job_id("k" + std::to_string(i)), {one});
    }
    BOOST_TEST(ledger.job_count() <= 8192U);
    ledger.add(start + std::chrono::minutes(11), job_id("l"), {one});
    BOOST_TEST(ledger.job_count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
