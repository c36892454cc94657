#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "instance/pool_host.h"

namespace poplarshed::instance::test {

namespace {

const routing::pool_id pool("ollur/desk/1.0");

/// Keeps what a pool host sends.
class recorder final : public pool_outputs {
public:
    void send_order(pending_order order) override { orders.push_back(std::move(order)); }
    void send_to_owner(time_point /*now*/, const endpoint& /*owner*/, workers::owner_message message) override
    {
        messages.push_back(std::move(message));
    }
    void report_losses(const workers::job_losses& losses) override { reports.push_back(losses); }
    void on_held_changed(time_point /*now*/) override { ++changes; }
    void log(time_point /*now*/, const workers::decision_record& /*record*/,
             const routing::pool_id& /*pool*/) override
    {}
    void log_hold(std::string_view /*event*/, const routing::pool_id& /*pool*/,
                  std::string_view /*cause*/) override
    {}

    std::vector<pending_order> orders;
    std::vector<workers::owner_message> messages;
    std::vector<workers::job_losses> reports;
    int changes = 0;
};

struct fixture {
    fixture()
    {
        peers.on_status(now, status());
        host.on_directory(now, directory());
    }

    static routing::pool_map directory()
    {
        workers::worker_entry entry;
        entry.id = workers::worker_id("w");
        entry.service = service_id("desk");
        entry.data_centre = data_centre_id("ollur");
        entry.capacity = {32'000, 65'536, 0};
        return {{pool, {entry}}};
    }

    static workers::instance_status status()
    {
        workers::instance_status value;
        value.address = endpoint("self");
        value.data_centre = data_centre_id("ollur");
        return value;
    }

    std::vector<routing::claim_pool> decide() { return host.decide(now, {peers, records, true, false}); }

    static workers::job_offer offer()
    {
        workers::job_offer value;
        value.job = workers::job_id("j");
        value.owner = endpoint("owner");
        value.pool = pool;
        value.service = service_id("desk");
        value.steps.resize(1);
        value.steps[0].need = {14'000, 64, 0};
        value.steps[0].estimate = milliseconds(100);
        value.objective = milliseconds(200);
        value.deadline = milliseconds(2000);
        return value;
    }

    time_point now{seconds(100)};
    routing::peer_table peers{endpoint("self"), data_centre_id("ollur")};
    std::map<routing::pool_id, routing::pool_record> records;
    recorder out;
    pool_host host{{endpoint("self")}, out, now - seconds(10)};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(pools_of_an_instance)

BOOST_AUTO_TEST_SUITE(when_a_claim_is_accepted)

// Guards against a pool whose workers nobody lists.
BOOST_AUTO_TEST_CASE(the_workers_are_listed_and_peers_are_told)
{
    fixture f;
    BOOST_REQUIRE_EQUAL(f.decide().size(), 1U);
    f.host.on_claim_answer(f.now, pool, 7, false);
    f.host.pump(f.now);
    BOOST_REQUIRE_EQUAL(f.out.orders.size(), 1U);
    BOOST_TEST(std::holds_alternative<workers::list_command>(f.out.orders[0].order));
    BOOST_TEST((f.out.orders[0].token == routing::token_of(7)));
    BOOST_TEST(f.out.changes == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_last_workers_leave_while_a_claim_is_on_its_way)

// Guards against the loss of the process: it took the pool for held and then dropped what it did not have.
BOOST_AUTO_TEST_CASE(the_pool_is_not_held)
{
    fixture f;
    BOOST_REQUIRE_EQUAL(f.decide().size(), 1U);
    f.host.on_directory(f.now, {});
    f.host.on_claim_answer(f.now, pool, 7, false);
    BOOST_TEST(f.decide().empty());
    BOOST_TEST(f.host.held().empty());
}

// Guards against a pool that is never claimed again.
BOOST_AUTO_TEST_CASE(it_is_claimed_when_workers_are_back)
{
    fixture f;
    BOOST_REQUIRE_EQUAL(f.decide().size(), 1U);
    f.host.on_directory(f.now, {});
    f.host.on_claim_answer(f.now, pool, 7, false);
    f.decide();
    f.host.on_directory(f.now, fixture::directory());
    BOOST_TEST(f.decide().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_workers_have_crashed_under_a_task)

// Guards against a resubmission, through any instance, that begins the count anew.
BOOST_AUTO_TEST_CASE(what_peers_report_counts_for_later_offers)
{
    fixture f;
    f.decide();
    f.host.on_claim_answer(f.now, pool, 7, false);
    f.host.on_losses(
        f.now, {workers::job_id("j"), {{0, 0, workers::worker_id("x"), 1, workers::loss_cause::crash}}});
    f.host.on_losses(f.now, {workers::job_id("j"),
                             {{0, 0, workers::worker_id("y"), 1, workers::loss_cause::crash, true}}});
    BOOST_TEST(f.host.losses_of(workers::job_id("j")).size() == 2U);
    workers::job_offer offer = fixture::offer();
    BOOST_TEST(f.host.on_offer(f.now, offer));
    f.host.pump(f.now);
    BOOST_REQUIRE(!f.out.messages.empty());
    const auto* result = std::get_if<workers::job_result>(&f.out.messages.back());
    BOOST_REQUIRE(result != nullptr);
    BOOST_TEST((result->end == workers::job_end::failed));
}

// Guards against a count that ends with the holder that has counted.
BOOST_AUTO_TEST_CASE(a_crash_that_is_seen_here_is_reported_to_peers)
{
    fixture f;
    f.decide();
    f.host.on_claim_answer(f.now, pool, 7, false);
    f.host.pump(f.now);
    workers::pool* held = f.host.find(f.out.orders.at(0));
    BOOST_REQUIRE(held != nullptr);
    held->on_listing(f.now, {workers::worker_id("w"), 1, 5000, {}, {}});
    workers::job_offer offer = fixture::offer();
    f.host.on_offer(f.now, offer);
    f.host.pump(f.now);
    const auto start = std::find_if(f.out.orders.begin(), f.out.orders.end(), [](const pending_order& order) {
        return std::holds_alternative<workers::start_command>(order.order);
    });
    BOOST_REQUIRE(start != f.out.orders.end());
    const auto command = std::get<workers::start_command>(start->order);
    held->on_start_reply(
        f.now, {command.target.worker, command.task, command.run, workers::start_outcome::started, 5000});
    held->on_list_failure(f.now, workers::worker_id("w"), workers::list_failure::other_incarnation);
    f.host.pump(f.now);
    BOOST_REQUIRE_EQUAL(f.out.reports.size(), 1U);
    BOOST_TEST((f.out.reports[0].losses == f.host.losses_of(workers::job_id("j"))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_pool_is_dropped)

// Guards against owners that wait for a holder which has given the pool up.
BOOST_AUTO_TEST_CASE(its_jobs_go_back_to_their_owners)
{
    fixture f;
    f.decide();
    f.host.on_claim_answer(f.now, pool, 7, false);
    workers::job_offer offer = fixture::offer();
    offer.may_have_run = true;
    BOOST_TEST(f.host.on_offer(f.now, offer));
    f.host.on_directory(f.now, {});
    f.decide();
    BOOST_TEST(f.host.held().empty());
    BOOST_REQUIRE(!f.out.messages.empty());
    const auto* result = std::get_if<workers::job_result>(&f.out.messages.back());
    BOOST_REQUIRE(result != nullptr);
    BOOST_TEST((result->end == workers::job_end::not_held));
    offer = fixture::offer();
    BOOST_TEST(!f.host.on_offer(f.now, offer));
}

// Guards against answers of workers that reach a later hold of the same pool.
BOOST_AUTO_TEST_CASE(answers_to_former_orders_are_ignored)
{
    fixture f;
    f.decide();
    f.host.on_claim_answer(f.now, pool, 7, false);
    f.host.pump(f.now);
    const pending_order former = f.out.orders.at(0);
    BOOST_TEST(f.host.find(former) != nullptr);
    f.host.on_directory(f.now, {});
    f.decide();
    f.host.on_directory(f.now, fixture::directory());
    f.decide();
    f.host.on_claim_answer(f.now, pool, 9, false);
    BOOST_TEST(f.host.find(former) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
