#include <boost/test/unit_test.hpp>

#include "instance/store_link.h"
#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

using purpose = instance::store_call::purpose;

const platform_protocol codec;

http::response answered(std::string body)
{
    http::response response;
    response.outcome = http::outcome_kind::answered;
    response.written = true;
    response.status = 200;
    response.body = std::move(body);
    return response;
}

constexpr const char* good_lease = R"({"lease":4,"ttl_ms":1500})";
constexpr const char* empty_page = R"({"store_revision":5})";
// An instance record with an address, in base64.
constexpr const char* record_row =
    R"({"key":"poplarshed/instances/b","revision":4,"value":"eyJhZGRyZXNzIjoiMTAuMC4wLjI6MSJ9"})";

struct fixture {
    fixture() : link({endpoint("10.0.0.1:1"), data_centre_id("ollur")}, codec, items) {}

    /// Answers the calls that are due. @returns their targets
    std::vector<std::string> answer(const std::string& own_items, const std::string& lease = good_lease)
    {
        now += milliseconds(400);
        std::vector<std::string> targets;
        for (const instance::store_call& call : link.due(now)) {
            targets.push_back(call.request.target);
            const bool feed = call.kind == purpose::list || call.kind == purpose::watch;
            const bool own = feed && call.request.target.find("prefix=poplarshed") != std::string::npos;
            link.on_answer(now, call, answered(own ? own_items : (feed ? empty_page : lease)));
        }
        return targets;
    }

    std::size_t instances() const { return items.own().instances().size(); }

    time_point now{seconds(1000)};
    instance::directory items{codec, "front-1", 1};
    instance::store_link link;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_store)

BOOST_AUTO_TEST_SUITE(pages)

// Guards against records that are dropped since a page of nothing but odd items counts as the last one.
BOOST_AUTO_TEST_CASE(a_page_of_odd_items_does_not_end_the_list)
{
    fixture f;
    f.answer(
        R"({"items":[{"key":"poplarshed/instances/a","revision":"x"}],"has_more":true,"store_revision":5})");
    const auto targets = f.answer(std::string(R"({"items":[)") + record_row + R"(],"store_revision":5})");
    BOOST_TEST(std::any_of(targets.begin(), targets.end(), [](const std::string& target) {
        return target.find("after=poplarshed/instances/a") != std::string::npos;
    }));
    BOOST_TEST(f.instances() == 1U);
}

// Guards against the same where no row can be read, and against a page that is asked for without end.
BOOST_AUTO_TEST_CASE(a_page_that_does_not_go_on_is_a_failure)
{
    for (const char* odd : {R"({"items":[7],"has_more":true,"store_revision":5})",
                            R"({"items":[],"has_more":true,"store_revision":5})"}) {
        fixture f;
        f.answer(std::string(R"({"items":[)") + record_row + R"(],"store_revision":5})");
        BOOST_REQUIRE_EQUAL(f.instances(), 1U);
        f.now += seconds(20);
        f.answer(odd);
        BOOST_TEST(f.instances() == 1U);
        BOOST_TEST(!f.link.watches(f.now));
    }
    fixture f;
    const std::string same =
        std::string(R"({"items":[)") + record_row + R"(],"has_more":true,"store_revision":5})";
    f.answer(same);
    f.answer(same);
    const auto targets = f.answer(same);
    BOOST_TEST(std::none_of(targets.begin(), targets.end(), [](const std::string& target) {
        return target.find("after=poplarshed") != std::string::npos;
    }));
}

// Guards against a watch that is set far ahead of the store, which tells of nothing any more.
BOOST_AUTO_TEST_CASE(an_odd_item_does_not_move_the_watch)
{
    fixture f;
    f.answer(empty_page);
    f.answer(
        R"({"events":[{"key":"poplarshed/instances/a","revision":4000000,"value":""}],"store_revision":6})");
    const auto targets = f.answer(empty_page);
    BOOST_TEST(std::any_of(targets.begin(), targets.end(), [](const std::string& target) {
        return target.find("prefix=poplarshed/&after=6&") != std::string::npos;
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answers)

// Guards against records that are written without a lease and outlive their instance.
BOOST_AUTO_TEST_CASE(a_grant_without_a_lease_is_a_failure)
{
    for (const char* odd :
         {"{}", "[", R"({"lease":0})", R"({"lease":"4"})", R"({"lease":-4})", R"({"lease":1e30})"}) {
        fixture f;
        f.answer(empty_page, odd);
        BOOST_TEST(!f.link.lease().has_value(), odd);
        f.answer(empty_page);
        BOOST_TEST(f.link.lease().value_or(0) == 4U);
    }
}

// Guards against a pool that is held with the lowest token, which every worker refuses.
BOOST_AUTO_TEST_CASE(a_claim_without_a_revision_is_a_failure)
{
    fixture f;
    const auto claim = f.link.claim(routing::pool_id("ollur/s/1.0"), 0);
    for (const char* odd : {"{}", "[", R"({"revision":"7"})", R"({"revision":1e300})"}) {
        BOOST_TEST((f.link.on_answer(f.now, claim, answered(odd)).status == instance::store_status::failed),
                   odd);
    }
    BOOST_TEST((f.link.on_answer(f.now, claim, answered(R"({"revision":7})")).status ==
                instance::store_status::done));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
