#include <thread>

#include "peer/fixture.h"

using namespace poplarshed;
using namespace poplarshed::peer;
using poplarshed::peer::test::connecting_to;
using poplarshed::peer::test::node;
using poplarshed::peer::test::numbered;

BOOST_AUTO_TEST_SUITE(links)

BOOST_AUTO_TEST_SUITE(when_two_instances_share_the_key)

// Guards against messages that reach their receiver under another sender's identity, or in one direction
// only.
BOOST_AUTO_TEST_CASE(messages_pass_both_ways_with_the_identity_of_their_sender)
{
    node first(1);
    node second(2, connecting_to({first.links().address()}));
    BOOST_REQUIRE(first.wait_up(2));
    BOOST_REQUIRE(second.wait_up(1));
    first.links().send(second.links().address(), numbered(10));
    second.links().send(first.links().self(), numbered(20));
    BOOST_REQUIRE(second.wait_message(10));
    BOOST_REQUIRE(first.wait_message(20));
    BOOST_TEST(first.events().back().incarnation.value() == 2U);
    BOOST_TEST((first.events().back().address == second.links().address()));
}

// Guards against two connections opened at once that count as two peers or reorder messages.
BOOST_AUTO_TEST_CASE(instances_that_connect_to_each_other_are_one_peer)
{
    node first(1);
    node second(2, connecting_to({first.links().address()}));
    BOOST_REQUIRE(first.links().set_peers({second.links().address()}));
    BOOST_REQUIRE(test::eventually([&] { return second.links().counters().links_up == 2; }));
    for (std::uint64_t number = 1; number <= 100; ++number) {
        first.links().send(second.links().address(), numbered(number));
    }
    BOOST_REQUIRE(second.wait_message(100));
    const auto numbers = second.received();
    BOOST_TEST(std::is_sorted(numbers.begin(), numbers.end()));
    const auto events = second.events();
    BOOST_TEST(std::count_if(events.begin(), events.end(),
                             [](const auto& item) { return item.what == test::event::kind::up; }) == 1);
}

// Guards against one odd address that ends the links to all others.
BOOST_AUTO_TEST_CASE(an_odd_address_costs_no_other_link)
{
    node first(1);
    node second(2);
    std::vector<endpoint> learned{second.links().address()};
    for (const char* odd : {"", "x", "host:1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:1 ",
                            "a@127.0.0.1:1", "127.0.0.1:1/x", "0.0.0.0:1", "[::1:1", "::1:1"}) {
        learned.emplace_back(odd);
    }
    BOOST_TEST(!first.links().set_peers(learned));
    BOOST_TEST(first.wait_up(2));
    BOOST_TEST(second.wait_up(1));
}

// Guards against one system call for each small message (at 51,000 starts/s these would take a core).
BOOST_AUTO_TEST_CASE(messages_that_wait_together_are_written_together)
{
    node first(1);
    node second(2, connecting_to({first.links().address()}));
    BOOST_REQUIRE(first.wait_up(2));
    BOOST_REQUIRE(second.wait_up(1));
    first.hold();
    second.links().send(first.links().address(), numbered(1));
    BOOST_REQUIRE(first.wait_message(1));
    const auto before = first.links().counters();
    for (std::uint64_t number = 1; number <= 500; ++number) {
        first.links().send(second.links().address(), numbered(number));
    }
    first.release();
    BOOST_REQUIRE(second.wait_message(500));
    BOOST_REQUIRE(first.links().flush(seconds(10)));
    const auto after = first.links().counters();
    BOOST_TEST(after.frames_out - before.frames_out == 500U);
    BOOST_TEST(after.writes - before.writes == 1U);
}

// Guards against answers lost because the process ends before they were written.
BOOST_AUTO_TEST_CASE(a_flush_before_the_end_loses_nothing)
{
    node first(1);
    auto second = std::make_unique<node>(2, connecting_to({first.links().address()}));
    BOOST_REQUIRE(second->wait_up(1));
    for (std::uint64_t number = 1; number <= 2000; ++number) {
        second->links().send(first.links().address(), numbered(number));
    }
    BOOST_REQUIRE(second->links().flush(seconds(10)));
    second->stop();
    BOOST_REQUIRE(first.wait_message(2000));
    BOOST_TEST(first.received().size() == 2000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_receiver_stops_reading)

// Guards against memory that grows without bound for a paused peer, and against drops that nobody counts.
BOOST_AUTO_TEST_CASE(the_queue_is_bounded_and_each_drop_is_reported)
{
    constexpr std::uint64_t sent = 400;
    node receiver(1);
    network_options options = connecting_to({receiver.links().address()});
    options.max_queued_bytes = std::size_t{256} * 1024;
    node sender(2, options);
    BOOST_REQUIRE(receiver.wait_up(2));
    BOOST_REQUIRE(sender.wait_up(1));
    receiver.hold();
    // The kernel's buffers take some megabytes before the queue of the link fills.
    for (std::uint64_t number = 0; number < sent; ++number) {
        sender.links().send(
            receiver.links().address(),
            wire::bundle_push{configuration_version(number), std::string(std::size_t{64} * 1024, 'x')});
    }
    BOOST_REQUIRE(test::eventually([&] { return test::drops(sender, drop_reason::queue_full) > 0; }));
    receiver.release();
    BOOST_REQUIRE(sender.links().flush(seconds(10)));
    const std::uint64_t dropped = test::drops(sender, drop_reason::queue_full);
    BOOST_REQUIRE(receiver.wait([&](const auto& all) {
        return std::count_if(all.begin(), all.end(), [](const auto& item) {
                   return item.what == test::event::kind::message;
               }) == static_cast<std::ptrdiff_t>(sent - dropped);
    }));
    std::uint64_t reported = 0;
    for (const auto& item : sender.events()) {
        reported += item.what == test::event::kind::dropped ? item.number : 0;
    }
    BOOST_TEST(reported == dropped);
}

// Guards against a link that ends because one message is too large for a frame.
BOOST_AUTO_TEST_CASE(a_message_too_large_for_a_frame_is_dropped_alone)
{
    node first(1);
    node second(2, connecting_to({first.links().address()}));
    BOOST_REQUIRE(second.wait_up(1));
    second.links().send(first.links().address(),
                        wire::bundle_push{{}, std::string(wire::max_frame_bytes, 'x')});
    second.links().send(first.links().address(), numbered(5));
    BOOST_REQUIRE(first.wait_message(5));
    BOOST_TEST(test::drops(second, drop_reason::too_large) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_peer_goes_away)

// Guards against a dead process that is taken for a silent one, and against a restart taken for the old
// process.
BOOST_AUTO_TEST_CASE(a_refused_connection_proves_it_dead_and_a_restart_is_a_new_peer)
{
    auto first = std::make_unique<node>(1);
    const instance_id former = first->links().self();
    node second(2, connecting_to({former.address}));
    BOOST_REQUIRE(second.wait_up(1));
    first->stop();
    BOOST_REQUIRE(second.wait_down(down_evidence::closed));
    BOOST_REQUIRE(second.wait_down(down_evidence::connection_refused));
    network_options options;
    options.listen = former.address;
    const node restarted(3, options);
    BOOST_REQUIRE(second.wait_up(3));
    second.links().send(former, numbered(1));
    second.links().send(former.address, numbered(2));
    BOOST_REQUIRE(restarted.wait_message(2));
    BOOST_TEST(restarted.received().size() == 1U);
    BOOST_TEST(test::drops(second, drop_reason::not_connected) == 1U);
}

// Guards against a removed address that is connected to for ever.
BOOST_AUTO_TEST_CASE(an_address_that_is_no_longer_learned_is_left)
{
    node first(1);
    node second(2);
    BOOST_REQUIRE(second.links().set_peers({first.links().address()}));
    BOOST_REQUIRE(second.wait_up(1));
    BOOST_REQUIRE(second.links().set_peers({}));
    BOOST_REQUIRE(second.wait_down(down_evidence::closed));
    BOOST_REQUIRE(first.wait_down(down_evidence::closed));
    BOOST_TEST(!second.links().set_peers({endpoint("nowhere")}));
    BOOST_REQUIRE(second.links().set_peers({first.links().address()}));
    BOOST_TEST(test::eventually([&] { return second.links().counters().links_up == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_link_has_gone_silent)

// Guards against an instance that receives nothing over links that stay open, and never opens new ones (seed
// 406 of the soak).
BOOST_AUTO_TEST_CASE(it_is_replaced_on_request_and_messages_pass_again)
{
    node first(1);
    node second(2, connecting_to({first.links().address()}));
    BOOST_REQUIRE(first.wait_up(2));
    BOOST_REQUIRE(second.wait_up(1));
    const std::uint64_t links = second.links().counters().links_up;
    BOOST_REQUIRE(first.links().reconnect(second.links().address()));
    BOOST_REQUIRE(second.wait_down(down_evidence::closed));
    BOOST_REQUIRE(test::eventually([&] { return second.links().counters().links_up > links; }));
    second.links().send(first.links().address(), numbered(1));
    BOOST_TEST(first.wait_message(1));
    BOOST_TEST(first.links().reconnect(endpoint("127.0.0.1:1")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
