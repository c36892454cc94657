#include <boost/test/unit_test.hpp>

#include <deque>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

/// An owner and a holder of a pool with one worker. Messages between them wait until the test delivers them.
struct owner_and_holder {
    owner_and_holder()
        : peers(endpoint("owner"), data_centre_id("ollur")), owner({}, peers, now - seconds(10))
    {
        workers::pool_options options;
        options.pool = other_pool;
        options.service = service_id("desk");
        options.self = endpoint("holder");
        options.token = workers::fencing_token(1);
        holder = std::make_unique<workers::pool>(options, now);
        workers::worker_entry entry;
        entry.id = workers::worker_id("w");
        entry.address = endpoint("10.1.0.1:1");
        entry.service = options.service;
        entry.capacity = {32'000, 65'536, 0};
        holder->on_completeness(true);
        holder->on_directory(now, {entry});
        workers::listing idle;
        idle.worker = entry.id;
        idle.clock_ms = 5000;
        holder->on_listing(now, idle);
        holder->take_actions();
    }

    /// Work of other owners for some seconds, so that the pool would send new jobs elsewhere.
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

    void hear(const workers::instance_status& status)
    {
        peers.on_status(now, status);
        owner.on_status(status.address);
        collect();
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
        collect();
    }

    void pass(milliseconds time)
    {
        now += time;
        owner.on_tick(now);
        collect();
    }

    void collect()
    {
        for (const send_to_holder& item : all<send_to_holder>(owner.take_actions())) {
            if (item.holder == endpoint("holder")) {
                on_way_to_holder.push_back(item.message);
            } else if (std::holds_alternative<workers::job_offer>(item.message)) {
                ++offered_elsewhere;
            }
        }
    }

    /// Everything that waits arrives at the holder, and its answers at the owner.
    void deliver()
    {
        for (const auto& message : std::exchange(on_way_to_holder, {})) {
            if (const auto* offer = std::get_if<workers::job_offer>(&message)) {
                holder->on_offer(now, endpoint("owner"), *offer);
            } else {
                holder->on_cancel(now, std::get<workers::job_cancel>(message));
            }
        }
        for (const workers::to_owner& item : all<workers::to_owner>(holder->take_actions())) {
            if (const auto* result = std::get_if<workers::job_result>(&item.message)) {
                owner.on_result(now, endpoint("holder"), *result);
            }
        }
        collect();
    }

    time_point now{seconds(100)};
    peer_table peers;
    router owner;
    std::unique_ptr<workers::pool> holder;
    std::deque<std::variant<workers::job_offer, workers::job_cancel>> on_way_to_holder;
    int offered_elsewhere = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(when_a_cut_ends_before_the_job_moves)

// Guards against the answer to an offer that was held up in a cut being taken for the answer to the next one:
// the holder keeps the second offer while the owner sends the job elsewhere, and both start it.
BOOST_AUTO_TEST_CASE(the_answer_to_the_first_offer_does_not_end_the_second)
{
    owner_and_holder f;
    f.hear(status_of("holder", "punkunnam", {load_of(other_pool)}));
    f.submit();
    BOOST_TEST(f.on_way_to_holder.size() == 1U);
    const workers::pool_load free = load_of(ollur_pool);
    f.fill_holder();
    f.holder->on_other_pools({free});
    for (int i = 0; i < 70; ++i) {
        f.pass(milliseconds(20));
    }
    f.hear(status_of("holder", "punkunnam", {load_of(other_pool)}));
    f.hear(status_of("third", "ollur", {free}));
    f.pass(milliseconds(20));
    f.deliver();
    BOOST_TEST(f.holder->job_count() == 2U);
    BOOST_TEST(f.offered_elsewhere == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
