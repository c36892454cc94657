#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

constexpr std::size_t data_centres = 4;
// A holder has a pool of 40 workers.
constexpr std::size_t instances_per_holder = 3;

/// Statuses of instances of which every third holds a pool, as received by one of them.
struct fixture {
    explicit fixture(std::size_t count, std::size_t self = 0)
        : peers(name(self), data_centre_at(self)), own_sends_often(self % instances_per_holder == 0)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const bool holds = i % instances_per_holder == 0;
            const pool_id pool(data_centre_at(i).value() + "/desk/1." + std::to_string(i));
            auto status = status_of(name(i).value(), data_centre_at(i).value());
            status.pools = holds ? std::vector{load_of(pool)} : std::vector<workers::pool_load>();
            status.next_status_within = seconds(60);
            peers.on_status(now, status);
            targets.push_back(name(i));
        }
    }

    static endpoint name(std::size_t index) { return endpoint("i" + std::to_string(index)); }
    static data_centre_id data_centre_at(std::size_t index)
    {
        return data_centre_id("dc" + std::to_string(index % data_centres));
    }

    /// Statuses that this instance sends within a time, by receiver.
    std::map<endpoint, int> sent_within(milliseconds time)
    {
        std::map<endpoint, int> sent;
        for (const time_point end = now + time; now < end;) {
            for (const due_status& due : schedule.due(now, {peers, targets, job_peers, own_sends_often})) {
                ++sent[due.to];
            }
            now += milliseconds(10);
        }
        return sent;
    }

    time_point now{seconds(100)};
    peer_table peers;
    std::vector<endpoint> targets;
    std::set<endpoint> job_peers;
    bool own_sends_often;
    status_schedule schedule;
};

/// Statuses that instance 0 receives each second from all others, after the first ones. Holders of one data
/// centre all send at the same interval, and so do its other instances, so one of each kind is simulated.
double received_each_second(std::size_t count)
{
    constexpr int measured_s = 8;
    double total = 0;
    std::set<std::pair<std::size_t, bool>> simulated;
    for (std::size_t from = 1; from < count; ++from) {
        const bool holds = from % instances_per_holder == 0;
        if (!simulated.emplace(from % data_centres, holds).second) {
            continue;
        }
        fixture f(count, from);
        f.targets = {fixture::name(0)};
        f.sent_within(milliseconds(10));
        const int sent = f.sent_within(seconds(measured_s))[fixture::name(0)];
        const std::size_t same_kind = count / data_centres * (holds ? 1 : 2) / instances_per_holder;
        total += static_cast<double>(sent) / measured_s * static_cast<double>(same_kind);
    }
    return total;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(schedule_of_statuses)

// Guards against a router that chooses pools by outdated load figures.
BOOST_AUTO_TEST_CASE(holders_of_a_small_deployment_send_every_60_ms)
{
    fixture f(6);
    const auto sent = f.sent_within(seconds(1));
    BOOST_TEST(sent.size() == 5U);
    BOOST_TEST(sent.at(fixture::name(4)) >= 16);
}

// Guards against traffic that grows with the square of the number of instances: with 16 statuses a second
// from each to each, an instance received 480 a second at 30 instances and would receive 11,500 at 720.
BOOST_AUTO_TEST_CASE(what_an_instance_receives_is_bounded)
{
    for (const std::size_t count : {std::size_t{30}, std::size_t{300}, std::size_t{720}}) {
        BOOST_TEST(received_each_second(count) <= 500, count);
    }
}

// Guards against holders that spend their processor time on statuses: with 16 a second to each instance, a
// holder among 147 sent 2,400 a second.
BOOST_AUTO_TEST_CASE(what_a_holder_sends_is_bounded)
{
    for (const std::size_t count : {std::size_t{30}, std::size_t{147}, std::size_t{720}}) {
        fixture f(count);
        f.sent_within(milliseconds(10));
        int sent = 0;
        for (const auto& [to, statuses] : f.sent_within(seconds(4))) {
            sent += statuses;
        }
        BOOST_TEST(sent <= 700 * 4, count);
    }
}

// A holder rejects an offer whose reading of its clock is older than 480 ms. Guards against load figures and
// clock readings that are too old to offer a job in another data centre.
BOOST_AUTO_TEST_CASE(holders_send_often_enough_for_offers_at_147_instances)
{
    fixture f(147);
    for (const auto& [to, statuses] : f.sent_within(seconds(4))) {
        BOOST_TEST(statuses >= 9, to.value());
    }
}

// Guards against a holder that continues the jobs of an unreachable owner beyond the time after which the
// caller sends them again (1.3 s).
BOOST_AUTO_TEST_CASE(instances_that_share_a_job_exchange_statuses_often)
{
    fixture f(300, 1);
    f.job_peers = {fixture::name(3)};
    BOOST_TEST(f.sent_within(seconds(1)).at(fixture::name(3)) >= 6);
    BOOST_TEST(job_peer_status_timeout.count() < 1300 - 500);
}

// Guards against a holder that expects the next status of an owner later than it is sent.
BOOST_AUTO_TEST_CASE(an_announced_interval_is_in_force_until_it_has_passed)
{
    fixture f(300, 1);
    const endpoint holder = fixture::name(3);
    BOOST_TEST(!f.schedule.has_job_peer_interval(f.now, holder));
    f.schedule.on_sent(f.now, {holder, job_peer_status_interval});
    BOOST_TEST(f.schedule.has_job_peer_interval(f.now, holder));
    BOOST_TEST(!f.schedule.has_job_peer_interval(f.now + job_peer_status_interval, holder));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
