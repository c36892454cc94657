#include "membership/proposal.h"

#include <boost/test/unit_test.hpp>

using namespace poplarshed;
using namespace poplarshed::membership;

namespace {

view_member member_at(const std::string& address, std::uint64_t run = 1, const std::string& home = "a")
{
    return {{endpoint(address), incarnation(run)}, data_centre_id(home)};
}

proposal_input input_of(std::vector<view_member> members, bool settled)
{
    proposal_input input;
    input.current = {data_centre_id("a"), view_epoch(4), std::move(members), {}, 1, settled};
    input.self = member_at("i0");
    input.may_join = true;
    return input;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(changes_of_a_view)

// Guards against a member that joins before the view has settled; some ids would then have no registrar that
// holds their records.
BOOST_AUTO_TEST_CASE(join_waits_for_a_settled_view)
{
    BOOST_TEST(!next_view(input_of({member_at("i1"), member_at("i2")}, false)));
    const auto next = next_view(input_of({member_at("i1"), member_at("i2")}, true));
    BOOST_REQUIRE(next);
    BOOST_TEST(next->members.size() == 3U);
    BOOST_TEST((next->epoch == view_epoch(5)));
    BOOST_TEST(!next->settled);
    BOOST_TEST((next->amnesia_epoch == view_epoch()));
}

// Guards against a loss of records that the view does not show.
BOOST_AUTO_TEST_CASE(changes_that_may_lose_records_set_the_amnesia_epoch)
{
    proposal_input unsettled = input_of({member_at("i0"), member_at("i1"), member_at("i2")}, false);
    unsettled.failed = {member_at("i1").instance};
    proposal_input two_failed = input_of({member_at("i0"), member_at("i1"), member_at("i2")}, true);
    two_failed.failed = {member_at("i1").instance, member_at("i2").instance};
    proposal_input own_old_incarnation = input_of({member_at("i0", 0)}, true);
    own_old_incarnation.failed = {member_at("i0", 0).instance};
    for (const proposal_input& input : {unsettled, two_failed, own_old_incarnation, input_of({}, true)}) {
        const auto next = next_view(input);
        BOOST_REQUIRE(next);
        BOOST_TEST((next->amnesia_epoch == next->epoch));
    }
}

// Guards against an amnesia epoch, and the refusals it causes, after a single failure or restart.
BOOST_AUTO_TEST_CASE(one_failure_or_restart_keeps_the_records)
{
    proposal_input failure = input_of({member_at("i0"), member_at("i1"), member_at("i2")}, true);
    failure.failed = {member_at("i1").instance};
    proposal_input restart = input_of({member_at("i0", 0), member_at("i1")}, true);
    restart.failed = {member_at("i0", 0).instance};
    for (const proposal_input& input : {failure, restart}) {
        const auto next = next_view(input);
        BOOST_REQUIRE(next);
        BOOST_TEST((next->amnesia_epoch == view_epoch()));
        BOOST_TEST(next->members.size() == 2U);
    }
}

// Guards against a single instance that never borrows a second registrar, and one that never returns it.
BOOST_AUTO_TEST_CASE(single_instance_borrows_a_registrar_and_returns_it)
{
    proposal_input alone = input_of({member_at("i0")}, true);
    alone.borrow_candidate = member_at("j0", 1, "b");
    const auto borrowed = next_view(alone);
    BOOST_REQUIRE(borrowed);
    BOOST_TEST(borrowed->members.size() == 2U);
    const auto returned =
        next_view(input_of({member_at("i0"), member_at("i1"), member_at("j0", 1, "b")}, true));
    BOOST_REQUIRE(returned);
    BOOST_TEST(returned->members.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
