#include "membership/member.h"

#include <boost/test/unit_test.hpp>

using namespace poplarshed;
using namespace poplarshed::membership;

namespace {

const data_centre_id home("a");

view_member member_at(const std::string& address, std::uint64_t run = 1)
{
    return {{endpoint(address), incarnation(run)}, home};
}

struct fixture {
    fixture() : subject(member_at("i0"), options(), random_source(1)) {}

    static member_options options()
    {
        member_options result;
        result.proposal_jitter = milliseconds(1);
        return result;
    }

    static platform_snapshot snapshot(const view& read_view, std::uint64_t revision,
                                      std::vector<view_member> live)
    {
        platform_snapshot result;
        result.views[home] = {read_view, key_revision(revision)};
        result.live = std::move(live);
        return result;
    }

    static view view_of_three(bool settled)
    {
        return {home, view_epoch(4), {member_at("i0"), member_at("i1"), member_at("i2")}, {}, 1, settled};
    }

    template <class T>
    std::optional<T> first(const std::vector<action>& actions)
    {
        for (const action& next : actions) {
            if (const T* found = std::get_if<T>(&next)) {
                return *found;
            }
        }
        return std::nullopt;
    }

    /// Reads the platform every 500 ms and returns the first proposal.
    std::optional<propose_view> first_proposal_within(const platform_snapshot& read_view, milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(500)) {
            now += milliseconds(500);
            const auto proposal = first<propose_view>(subject.on_platform(read_view, now));
            const auto later = first<propose_view>(subject.on_timer(now + milliseconds(2)));
            if (proposal || later) {
                return proposal ? proposal : later;
            }
        }
        return std::nullopt;
    }

    heartbeat heartbeat_of(std::uint64_t adopted, std::uint64_t synced,
                           std::vector<instance_id> tombstones = {}) const
    {
        heartbeat body;
        body.data_centre = home;
        body.views = {{home, view_epoch(adopted), view_epoch(synced)}};
        body.tombstones = std::move(tombstones);
        return body;
    }

    time_point now{seconds(100)};
    member subject;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(member_of_a_view, fixture)

// Guards against a lost swap response that blocks all later changes, and against a change that is made twice.
BOOST_AUTO_TEST_CASE(write_with_a_lost_response_is_recognised)
{
    const auto proposal = first_proposal_within({{}, {member_at("i0")}}, seconds(2));
    BOOST_REQUIRE(proposal);
    BOOST_TEST(first<read_platform>(subject.on_swap(swap_status::unknown, {}, now)).has_value());
    const auto after = subject.on_platform(snapshot(proposal->view, 1, {member_at("i0")}), now);
    BOOST_REQUIRE(first<view_adopted>(after));
    BOOST_TEST(subject.recognised_writes() == 1U);
    BOOST_TEST(subject.is_member());
}

// Guards against a change that is not proposed again after its swap was lost on the way to the platform.
BOOST_AUTO_TEST_CASE(swap_without_a_response_is_proposed_again)
{
    const platform_snapshot empty{{}, {member_at("i0")}};
    BOOST_REQUIRE(first_proposal_within(empty, seconds(2)));
    now += seconds(2);
    BOOST_TEST(first<read_platform>(subject.on_timer(now)).has_value());
    BOOST_TEST(first_proposal_within(empty, seconds(2)).has_value());
}

// Guards against the removal of members whose leases all expired during a platform outage.
BOOST_AUTO_TEST_CASE(member_with_an_expired_lease_is_removed_only_after_the_grace_period)
{
    const auto with_expired_lease = snapshot(view_of_three(true), 9, {member_at("i0"), member_at("i1")});
    BOOST_TEST(!first_proposal_within(with_expired_lease, milliseconds(2'500)).has_value());
    now += seconds(5);
    BOOST_TEST(!first_proposal_within(with_expired_lease, milliseconds(2'500)).has_value());
    const auto proposal = first_proposal_within(with_expired_lease, seconds(3));
    BOOST_REQUIRE(proposal);
    BOOST_TEST(proposal->view.members.size() == 2U);
    BOOST_TEST((proposal->expected == key_revision(9)));
}

// Guards against the removal of a member that has lost the platform but is reachable for its peers.
BOOST_AUTO_TEST_CASE(member_with_an_expired_lease_stays_while_it_sends_heartbeats)
{
    const auto with_expired_lease = snapshot(view_of_three(true), 9, {member_at("i0"), member_at("i1")});
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(!first_proposal_within(with_expired_lease, seconds(1)).has_value());
        subject.on_message(member_at("i2").instance, heartbeat_of(4, 4), now);
    }
}

// Guards against a view that is marked as settled before every member has transferred its records.
BOOST_AUTO_TEST_CASE(view_settles_when_all_members_have_synced)
{
    const auto read_view =
        snapshot(view_of_three(false), 9, {member_at("i0"), member_at("i1"), member_at("i2")});
    subject.on_platform(read_view, now);
    subject.on_synced(home, view_epoch(4), now);
    subject.on_message(member_at("i1").instance, heartbeat_of(4, 4), now);
    subject.on_message(member_at("i2").instance, heartbeat_of(4, 3), now);
    BOOST_TEST(!first_proposal_within(read_view, seconds(2)).has_value());
    subject.on_message(member_at("i2").instance, heartbeat_of(4, 4), now);
    const auto proposal = first_proposal_within(read_view, seconds(2));
    BOOST_REQUIRE(proposal);
    BOOST_TEST(proposal->view.settled);
    BOOST_TEST((proposal->view.epoch == view_epoch(4)));
}

// Guards against a registrar that was removed from the view and, after the failure of its former partner,
// grants claims alone.
BOOST_AUTO_TEST_CASE(failed_member_is_skipped_only_if_the_others_confirm_the_epoch)
{
    const instance_id failed = member_at("i1").instance;
    subject.on_platform(snapshot(view_of_three(true), 9, {member_at("i0"), member_at("i1"), member_at("i2")}),
                        now);
    BOOST_TEST(!first<skip_member>(subject.on_evidence(failed, evidence::unreachable, now)).has_value());
    BOOST_TEST(
        first<instance_failed>(subject.on_evidence(failed, evidence::connection_refused, now)).has_value());
    const instance_id other = member_at("i2").instance;
    BOOST_TEST(!first<skip_member>(subject.on_message(other, heartbeat_of(4, 4), now)).has_value());
    BOOST_TEST(!first<skip_member>(subject.on_message(other, heartbeat_of(5, 5, {failed}), now)).has_value());
    BOOST_TEST(first<skip_member>(subject.on_message(other, heartbeat_of(4, 4, {failed}), now)).has_value());
}

// Guards against an exit while the remaining registrars still exchange records.
BOOST_AUTO_TEST_CASE(leaving_member_exits_after_the_view_without_it_has_settled)
{
    subject.on_platform(snapshot(view_of_three(true), 9, {member_at("i0")}), now);
    BOOST_TEST(!first<may_exit>(subject.leave(now)).has_value());
    view without{home, view_epoch(5), {member_at("i1"), member_at("i2")}, {}, 2, false};
    BOOST_TEST(!first<may_exit>(subject.on_message(member_at("i1").instance, view_offer{without}, now)));
    without.settled = true;
    BOOST_TEST(
        first<may_exit>(subject.on_message(member_at("i1").instance, view_offer{without}, now)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_that_the_platform_does_not_list)

// Guards against an instance that restarts during a platform outage and receives neither a view nor a
// configuration version.
BOOST_FIXTURE_TEST_CASE(gets_heartbeats_over_its_link_and_views_for_an_empty_heartbeat, fixture)
{
    subject.on_platform(snapshot(view_of_three(true), 1, view_of_three(true).members), now);
    const instance_id restarted{endpoint("i2"), incarnation(2)};
    subject.on_linked(restarted);
    bool heartbeat_sent = false;
    for (const action& next : subject.on_timer(now + seconds(1))) {
        const auto* sent = std::get_if<send_message>(&next);
        heartbeat_sent = heartbeat_sent || (sent != nullptr && sent->to == restarted);
    }
    BOOST_TEST(heartbeat_sent);
    const auto offer = first<send_message>(subject.on_message(restarted, heartbeat{home, {}, {}, {}}, now));
    BOOST_REQUIRE(offer.has_value());
    BOOST_TEST(std::holds_alternative<view_offer>(offer->body));
}

BOOST_AUTO_TEST_SUITE_END()
