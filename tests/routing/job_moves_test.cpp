#include <boost/test/unit_test.hpp>

#include <deque>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

/// The owner of a job and the holder of a pool with one worker. Messages between them are queued until the
/// test delivers them.
struct owner_and_holder {
    owner_and_holder()
        : peers(endpoint("owner"), data_centre_id("ollur")), owner({}, peers, now - seconds(10))
    {
        workers::pool_options options;
        options.pool = other_pool;
        options.service = service_id("desk");
        options.own_address = endpoint("holder");
        options.token = workers::fencing_token(1);
        holder = std::make_unique<workers::pool>(options, now);
        workers::worker_entry entry;
        entry.id = workers::worker_id("w");
        entry.address = endpoint("10.1.0.1:1");
        entry.service = options.service;
        entry.capacity = {32'000, 65'536, 0};
        holder->on_directory_completeness(true);
        holder->on_directory(now, {entry});
        workers::listing idle;
        idle.worker = entry.id;
        idle.clock_ms = 5000;
        holder->on_listing(now, idle);
        holder->take_actions();
    }

    /// Gives the holder work of another owner for some seconds, so that its pool would return new jobs.
    void fill_holder()
    {
        workers::job_offer other;
        other.job = job_id("other");
        other.owner = endpoint("third");
        other.steps.resize(1);
        other.steps[0].tasks = 12;
        other.steps[0].need = {14'000, 64, 0};
        other.steps[0].estimate = milliseconds(900);
        other.objective = milliseconds(1500);
        other.deadline = milliseconds(10'000);
        other.may_have_run = true;
        holder->on_offer(now, other.owner, other);
    }

    void receive_status(const workers::instance_status& status)
    {
        peers.on_status(now, status);
        owner.on_status(status.address);
        collect_sent();
    }

    void submit()
    {
        route target;
        target.service = service_id("desk");
        target.stretch = 1.6;
        target.allowance = milliseconds(60);
        caller_job job;
        job.job = job_id("j");
        job.steps.resize(1);
        job.steps[0].need = {14'000, 64, 0};
        job.steps[0].estimate = milliseconds(900);
        job.time_limit = milliseconds(4000);
        owner.on_job(now, caller_id(1), target, job);
        collect_sent();
    }

    void advance(milliseconds time)
    {
        now += time;
        owner.on_tick(now);
        collect_sent();
    }

    void collect_sent()
    {
        for (const send_to_holder& sent : all<send_to_holder>(owner.take_actions())) {
            if (sent.holder == endpoint("holder")) {
                queued_for_holder.push_back(sent.message);
            } else if (std::holds_alternative<workers::job_offer>(sent.message)) {
                ++offered_elsewhere;
            }
        }
    }

    /// Delivers the queued messages to the holder, and its results to the owner.
    void deliver()
    {
        for (const auto& message : std::exchange(queued_for_holder, {})) {
            if (const auto* offer = std::get_if<workers::job_offer>(&message)) {
                holder->on_offer(now, endpoint("owner"), *offer);
            } else {
                holder->on_cancel(now, std::get<workers::job_cancel>(message));
            }
        }
        for (const workers::owner_notification& sent :
             all<workers::owner_notification>(holder->take_actions())) {
            if (const auto* result = std::get_if<workers::job_result>(&sent.message)) {
                owner.on_result(now, endpoint("holder"), *result);
            }
        }
        collect_sent();
    }

    time_point now{seconds(100)};
    peer_table peers;
    router owner;
    std::unique_ptr<workers::pool> holder;
    std::deque<std::variant<workers::job_offer, workers::job_cancel>> queued_for_holder;
    int offered_elsewhere = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(when_a_partition_ends_before_the_job_moves)

// Guards against a result that was delayed in a network partition and is taken for the result of the next
// offer: the holder keeps the second offer while the owner offers the job elsewhere, and both start it.
BOOST_AUTO_TEST_CASE(the_result_of_the_first_offer_does_not_end_the_second)
{
    owner_and_holder f;
    f.receive_status(status_of("holder", "punkunnam", {load_of(other_pool)}));
    f.submit();
    BOOST_TEST(f.queued_for_holder.size() == 1U);
    const workers::pool_load free = load_of(ollur_pool);
    f.fill_holder();
    f.holder->on_other_pools({free});
    for (int i = 0; i < 70; ++i) {
        f.advance(milliseconds(20));
    }
    f.receive_status(status_of("holder", "punkunnam", {load_of(other_pool)}));
    f.receive_status(status_of("third", "ollur", {free}));
    f.advance(milliseconds(20));
    f.deliver();
    BOOST_TEST(f.holder->job_count() == 2U);
    BOOST_TEST(f.offered_elsewhere == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
