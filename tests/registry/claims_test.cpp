#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>

#include "registry/registry.h"

using namespace poplarshed;
using namespace poplarshed::registry;

namespace {

const data_centre_id home("a");

/// Registrars of one data centre. Messages are delivered at once, except those that a test drops or holds.
struct fixture {
    fixture()
    {
        for (int i = 0; i < 3; ++i) {
            add("i" + std::to_string(i));
        }
        adopt(view_of({"i0", "i1", "i2"}, 1, true));
    }

    void add(const std::string& name, const disabled_rules& disabled = {})
    {
        registrar_options options;
        options.disabled = disabled;
        options.data_centres = {home};
        const instance_id id{endpoint(name), incarnation(1)};
        nodes[name] = std::make_unique<registrar>(id, home, options, random_source(1));
    }

    static membership::view view_of(const std::vector<std::string>& names, std::uint64_t epoch, bool settled)
    {
        membership::view view{home, view_epoch(epoch), {}, {}, epoch, settled};
        for (const std::string& name : names) {
            view.members.push_back({{endpoint(name), incarnation(1)}, home});
        }
        return view;
    }

    void adopt(const membership::view& view)
    {
        current = view;
        for (auto& [name, node] : nodes) {
            node->on_view(view, now);
        }
        deliver_messages();
    }

    claim_request job(const std::string& id, const std::string& body = "body") const
    {
        claim_request request;
        request.id = submission_id(id);
        request.body = digest::of(body);
        return request;
    }

    /// Names of the members for an id by rank: head, tail and third.
    std::vector<std::string> members_by_rank(const std::string& id) const
    {
        std::vector<std::string> names;
        std::vector<bool> skipped(current.members.size(), false);
        const membership::ranking ranking(current.members);
        while (names.size() < current.members.size()) {
            const std::uint16_t next = ranking.chain_of(digest::of(id), skipped).index[0];
            names.push_back(current.members[next].instance.address.value());
            skipped[next] = true;
        }
        return names;
    }

    void deliver_messages()
    {
        for (bool delivered = true; delivered;) {
            delivered = false;
            for (auto& [name, node] : nodes) {
                for (action& next : node->take_actions(now)) {
                    delivered = true;
                    handle(name, next);
                }
            }
        }
    }

    void handle(const std::string& name, const action& next)
    {
        if (const auto* sent = std::get_if<send_message>(&next)) {
            ++messages;
            const std::string to = sent->to.address.value();
            if (hold_record_syncs && std::holds_alternative<records_sync>(sent->body)) {
                held_messages.emplace_back(name, *sent);
            } else if (to != unreachable && name != unreachable) {
                nodes.at(to)->on_message({endpoint(name), incarnation(1)}, sent->body, now);
            }
        } else {
            decisions[name].push_back(next);
        }
    }

    void advance(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(20)) {
            now += milliseconds(20);
            for (auto& [name, node] : nodes) {
                node->on_timer(now);
            }
            deliver_messages();
        }
    }

    void claim_at(const std::string& name, const claim_request& request)
    {
        decisions.clear();
        nodes.at(name)->begin_claim(request, now);
        deliver_messages();
    }

    template <class T>
    const T* decision(const std::string& name) const
    {
        const auto found = decisions.find(name);
        return found == decisions.end() ? nullptr : std::get_if<T>(&found->second.back());
    }

    time_point now{seconds(10'000)};
    std::map<std::string, std::unique_ptr<registrar>> nodes;
    std::map<std::string, std::vector<action>> decisions;
    std::string unreachable;
    bool hold_record_syncs = false;
    std::vector<std::pair<std::string, send_message>> held_messages;
    membership::view current;
    int messages = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(claims, fixture)

BOOST_AUTO_TEST_SUITE(of_one_view)

// Guards against two owners of one id.
BOOST_AUTO_TEST_CASE(first_claim_is_granted_and_the_second_follows)
{
    claim_at("i0", job("x"));
    BOOST_REQUIRE(decision<claim_granted>("i0"));
    claim_at("i1", job("x"));
    BOOST_REQUIRE(decision<follow_owner>("i1"));
    BOOST_TEST(decision<follow_owner>("i1")->owner.address.value() == "i0");
}

// Guards against one message per claim in a burst.
BOOST_AUTO_TEST_CASE(claims_of_one_turn_share_messages)
{
    messages = 0;
    decisions.clear();
    for (int i = 0; i < 600; ++i) {
        nodes.at("i0")->begin_claim(job("burst" + std::to_string(i)), now);
    }
    deliver_messages();
    BOOST_TEST(decisions["i0"].size() == 600U);
    // Two claim messages, one forward per ordered pair of members, at most two grants per other tail.
    BOOST_TEST(messages <= 12);
    BOOST_TEST_MESSAGE("messages for 600 claims: " << messages);
}

// Guards against a job that receives the result of another job, and against a false not_run: only the owner
// of a granted claim can prove that another body has not run.
BOOST_AUTO_TEST_CASE(owner_decides_a_claim_with_another_body)
{
    claim_at("i0", job("x"));
    claim_at("i1", job("x", "other"));
    BOOST_REQUIRE(decision<follow_owner>("i1"));
    const ownership answer = nodes.at("i0")->answer_follower(submission_id("x"), digest::of("other"), now);
    BOOST_TEST((answer == ownership::granted_other));
    claim_at("i0", job("x", "other"));
    BOOST_REQUIRE(decision<claim_refused>("i0"));
    BOOST_TEST((decision<claim_refused>("i0")->cause.reason == refusal_reason::id_reused));
    BOOST_TEST((decision<claim_refused>("i0")->cause.ran == verdict::not_run));
}

// Guards against an id that a released claim blocks until the retention window has passed.
BOOST_AUTO_TEST_CASE(released_id_is_granted_to_another)
{
    claim_at("i0", job("x"));
    nodes.at("i0")->release(submission_id("x"), now);
    deliver_messages();
    claim_at("i1", job("x"));
    BOOST_TEST(decision<claim_granted>("i1"));
}

// Guards against records that never expire.
BOOST_AUTO_TEST_CASE(records_expire_after_the_retention_window)
{
    claim_at("i0", job("x"));
    now += seconds(660);
    advance(milliseconds(40));
    BOOST_TEST(nodes.at("i0")->counts().records + nodes.at("i1")->counts().records +
                   nodes.at("i2")->counts().records ==
               0U);
    BOOST_TEST(nodes.at("i0")->counts().owned == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_unreachable_registrar)

// Guards against a claim that never ends, and against not_run for an id that may have run elsewhere.
BOOST_AUTO_TEST_CASE(claim_without_a_decision_is_refused_at_its_timeout)
{
    const auto names = members_by_rank("x");
    unreachable = names[1];
    claim_at(names[2], job("x"));
    advance(milliseconds(2'100));
    BOOST_REQUIRE(decision<claim_refused>(names[2]));
    BOOST_TEST((decision<claim_refused>(names[2])->cause.ran == verdict::may_have_run));
    BOOST_TEST((decision<claim_refused>(names[2])->cause.reason == refusal_reason::registrar_unavailable));
    claim_request first = job("x");
    first.first_submission = true;
    claim_at(names[2], first);
    advance(milliseconds(2'100));
    BOOST_REQUIRE(decision<claim_refused>(names[2]));
    BOOST_TEST((decision<claim_refused>(names[2])->cause.ran == verdict::not_run));
}

// Guards against a claim that fails because of one lost message.
BOOST_AUTO_TEST_CASE(claim_is_retried_until_the_registrar_answers)
{
    const auto names = members_by_rank("x");
    unreachable = names[1];
    claim_at(names[2], job("x"));
    advance(milliseconds(200));
    unreachable.clear();
    advance(milliseconds(400));
    BOOST_TEST(decision<claim_granted>(names[2]));
}

// Guards against a failed member that blocks the ids of its chains while the view cannot change.
BOOST_AUTO_TEST_CASE(failed_member_is_skipped)
{
    const auto names = members_by_rank("x");
    unreachable = names[0];
    for (const std::string& name : {names[1], names[2]}) {
        nodes.at(name)->on_instance_failed({endpoint(names[0]), incarnation(1)}, now);
        nodes.at(name)->on_member_skipped(home, view_epoch(1), {endpoint(names[0]), incarnation(1)});
    }
    claim_at(names[2], job("x"));
    BOOST_TEST(decision<claim_granted>(names[2]));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_a_change_of_the_view)

// Guards against a member that joins a chain without its records and is later the only registrar.
BOOST_AUTO_TEST_CASE(records_are_sent_to_the_member_that_joins_the_chain)
{
    const auto names = members_by_rank("x");
    claim_at(names[2], job("x"));
    adopt(view_of({names[1], names[2]}, 2, false));
    BOOST_TEST(nodes.at(names[2])->counts().records == 1U);
    adopt(view_of({names[1], names[2]}, 2, true));
    adopt(view_of({names[2]}, 3, false));
    claim_at(names[2], job("x"));
    BOOST_TEST(decision<follow_owner>(names[2]));
}

// Guards against a late records_sync that restores a released record at one registrar, where it hides the
// claim that replaced it. Without the rule the scenario grants the id twice; with it, once.
BOOST_AUTO_TEST_CASE(record_of_the_former_view_is_frozen_until_the_view_has_settled)
{
    const auto names = members_by_rank("x");
    for (const bool frozen : {false, true}) {
        nodes.clear();
        for (const std::string& name : names) {
            add(name, {.freeze = !frozen});
        }
        // The member of rank two is alone at first; then the member of rank one joins as head.
        adopt(view_of({names[1]}, 1, true));
        claim_at(names[2], job("x"));
        BOOST_REQUIRE(decision<claim_granted>(names[2]));
        hold_record_syncs = true;
        adopt(view_of({names[0], names[1]}, 2, false));
        nodes.at(names[2])->release(submission_id("x"), now);
        deliver_messages();
        claim_at(names[1], job("x"));
        const bool granted_early = decision<claim_granted>(names[1]) != nullptr;
        BOOST_TEST(granted_early == !frozen);
        hold_record_syncs = false;
        for (const auto& [name, sent] : std::exchange(held_messages, {})) {
            handle(name, sent);
        }
        deliver_messages();
        adopt(view_of({names[0], names[1]}, 2, true));
        if (!granted_early) {
            nodes.at(names[2])->answer_follower(submission_id("x"), digest::of("body"), now);
            deliver_messages();
            claim_at(names[1], job("x"));
            BOOST_REQUIRE(decision<claim_granted>(names[1]));
        }
        adopt(view_of({names[0]}, 3, false));
        adopt(view_of({names[0]}, 3, true));
        nodes.at(names[2])->answer_follower(submission_id("x"), digest::of("body"), now);
        deliver_messages();
        claim_at(names[0], job("x"));
        const bool granted_twice = decision<claim_granted>(names[0]) != nullptr;
        BOOST_TEST(granted_twice == !frozen);
    }
}

// Guards against not_run or a second start after the records of an id were lost.
BOOST_AUTO_TEST_CASE(older_ids_are_refused_in_an_amnesia_epoch)
{
    membership::view view = view_of({"i0", "i1"}, 5, true);
    view.amnesia_epoch = view_epoch(5);
    adopt(view);
    claim_at("i0", job("a.4.x"));
    BOOST_REQUIRE(decision<claim_refused>("i0"));
    BOOST_TEST((decision<claim_refused>("i0")->cause.reason == refusal_reason::history_lost));
    BOOST_TEST((decision<claim_refused>("i0")->cause.ran == verdict::may_have_run));
    claim_at("i0", job("a.5.x"));
    BOOST_TEST(decision<claim_granted>("i0"));
    now += seconds(601);
    claim_at("i0", job("a.4.x"));
    BOOST_TEST(decision<claim_granted>("i0"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_failed_owner)

// Guards against a second run of a failed owner's job if the service does not allow reruns.
BOOST_AUTO_TEST_CASE(rerun_replaces_the_claim_and_others_are_refused)
{
    const auto names = members_by_rank("x");
    claim_at(names[2], job("x"));
    const instance_id failed{endpoint(names[2]), incarnation(1)};
    unreachable = names[2];
    nodes.at(names[0])->on_instance_failed(failed, now);
    claim_at(names[0], job("x"));
    BOOST_REQUIRE(decision<claim_refused>(names[0]));
    BOOST_TEST((decision<claim_refused>(names[0])->cause.reason == refusal_reason::owner_lost));
    claim_request again = job("x");
    again.rerun_if_owner_lost = true;
    claim_at(names[0], again);
    BOOST_REQUIRE(decision<claim_granted>(names[0]));
    BOOST_TEST(decision<claim_granted>(names[0])->rerun);
}

// Guards against a claim with another body that replaces the record of a failed owner, whose body would then
// be reported as not run.
BOOST_AUTO_TEST_CASE(another_body_does_not_replace_the_record_of_a_rerun)
{
    const auto names = members_by_rank("x");
    const std::string& owner = names[2];
    const instance_id former{endpoint(owner), incarnation(0)};
    const claim_entry entry{digest::of("x"), digest::of("body"), claim_sequence(1), {}, {}};
    nodes.at(names[0])->on_message(former, claim{home, view_epoch(1), former, {entry}}, now);
    deliver_messages();
    claim_request again = job("x");
    again.rerun_if_owner_lost = true;
    claim_at(owner, again);
    BOOST_REQUIRE(decision<claim_granted>(owner));
    // The release of the granted claim is lost: its messages are discarded.
    nodes.at(owner)->release(submission_id("x"), now);
    nodes.at(owner)->take_actions(now);
    claim_request other = job("x", "other");
    other.rerun_if_owner_lost = true;
    claim_at(owner, other);
    BOOST_REQUIRE(decision<claim_refused>(owner));
    BOOST_TEST((decision<claim_refused>(owner)->cause.ran == verdict::may_have_run));
}

// Guards against the loss of a failed owner's record when the claim that replaced it is released.
BOOST_AUTO_TEST_CASE(release_of_a_rerun_restores_the_failed_owner)
{
    const auto names = members_by_rank("x");
    claim_at(names[2], job("x"));
    unreachable = names[2];
    nodes.at(names[0])->on_instance_failed({endpoint(names[2]), incarnation(1)}, now);
    claim_request again = job("x");
    again.rerun_if_owner_lost = true;
    claim_at(names[0], again);
    nodes.at(names[0])->release(submission_id("x"), now);
    deliver_messages();
    claim_at(names[1], job("x"));
    BOOST_REQUIRE(decision<follow_owner>(names[1]));
    BOOST_TEST(decision<follow_owner>(names[1])->owner.address.value() == names[2]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
