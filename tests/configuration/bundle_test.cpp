#include <boost/test/unit_test.hpp>

#include "configuration/configuration.h"

using namespace poplarshed;
using namespace poplarshed::configuration;

namespace {

std::string fault_of(const std::string& text)
{
    const auto parsed = parse_bundle(text, "b.json", true);
    return parsed ? "" : parsed.error().message;
}

std::string with_service(const std::string& fields)
{
    return R"({"version":1,"services":{"hold":{)" + fields + R"(}},"teams":{}})";
}

std::string with_workspaces(const std::string& workspaces)
{
    return R"({"version":1,"services":{"hold":{}},"teams":{)" + workspaces + "}}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bundle_text)

// Guards against a field that the canonical text leaves out, so that instances apply less than was proposed,
// and against a digest that depends on the order or the layout of the operator's file.
BOOST_AUTO_TEST_CASE(canonical_text_is_lossless_and_independent_of_layout)
{
    const auto parsed =
        parse_bundle(R"({"teams":{"booking":{"guaranteed_share":0.2,"services":["release","hold"],
        "weight":10,"max_tasks_in_flight":1000}}, // order and comments do not matter
        "services":{"release":{},"hold":{"idempotent":true,"timeout_ms":2000,"deadline_ms":4000,"attempts":2,
        "hedge":true,"urgency":9,"on_owner_lost":"rerun","on_ambiguous":"run","promises_not_run":true,
        "requires":{"memory_mb":512,"accelerators":1}}},"version":7})",
                     "b.json", true);
    BOOST_REQUIRE(parsed);
    const bundle& content = parsed.value();
    const service& hold = content.services.at(service_id("hold"));
    BOOST_TEST(hold.idempotent);
    BOOST_TEST((hold.timeout == milliseconds(2000)));
    BOOST_TEST((hold.needs == requirements{512, 1}));
    BOOST_TEST((hold.on_ambiguous == ambiguous_policy::run));
    const auto stored = parse_bundle(canonical_text(content), "stored");
    BOOST_REQUIRE(stored);
    BOOST_TEST((stored.value() == content));
    const auto readable = parse_bundle(readable_text(content), "shown");
    BOOST_REQUIRE(readable);
    BOOST_TEST((digest_of(readable.value()) == digest_of(content)));
    bundle other = content;
    other.services.at(service_id("hold")).urgency = 8;
    BOOST_TEST((digest_of(other) != digest_of(content)));
}

// Guards against a misspelt key that is ignored, so that the default value applies without a message.
BOOST_AUTO_TEST_CASE(each_fault_names_path_value_and_what_is_allowed)
{
    BOOST_TEST(fault_of(with_service(R"("tiemout_ms":1)")) ==
               "b.json: services.hold.tiemout_ms is no known key; did you mean 'timeout_ms'?");
    BOOST_TEST(fault_of(with_service(R"("urgency":10)")) ==
               "b.json: services.hold.urgency is 10; allowed: 0 to 9");
    BOOST_TEST(fault_of(with_service(R"("timeout_ms":-1)")) ==
               "b.json: services.hold.timeout_ms is -1; allowed: 1 to 3600000");
    BOOST_TEST(fault_of(with_service(R"("on_owner_lost":"run")")) ==
               "b.json: services.hold.on_owner_lost is \"run\"; allowed: one of refuse rerun");
    BOOST_TEST(fault_of(with_service(R"("requires":{"memory":1})")).find("services.hold.requires.memory") !=
               std::string::npos);
    BOOST_TEST(fault_of(R"({"version":1,"services":{"a/b":{}},"teams":{}})").find("wrong name") !=
               std::string::npos);
    BOOST_TEST(fault_of(R"({"version":1,"services":{}})") == "b.json: teams is required");
    BOOST_TEST(fault_of("[1]") == "b.json: the document is [1]; an object is expected");
}

// Guards against a configuration that lets a non-idempotent request run twice.
BOOST_AUTO_TEST_CASE(second_attempts_without_proof_need_an_idempotent_service)
{
    const std::string restriction = " is allowed for idempotent services only";
    BOOST_TEST(fault_of(with_service(R"("hedge":true)")) == "b.json: services.hold.hedge" + restriction);
    BOOST_TEST(fault_of(with_service(R"("on_owner_lost":"rerun")")) ==
               "b.json: services.hold.on_owner_lost \"rerun\"" + restriction);
    BOOST_TEST(fault_of(with_service(R"("on_ambiguous":"run")")) ==
               "b.json: services.hold.on_ambiguous \"run\"" + restriction);
    BOOST_TEST(fault_of(with_service(R"("idempotent":true,"hedge":true,"on_owner_lost":"rerun")")).empty());
}

// Guards against guaranteed shares that add up to more than the capacity, and against workspaces that name
// unknown services.
BOOST_AUTO_TEST_CASE(guaranteed_shares_and_service_names_are_checked)
{
    BOOST_TEST(fault_of(with_workspaces(R"("a":{"guaranteed_share":0.6},"b":{"guaranteed_share":0.5})")) ==
               "b.json: teams: the guaranteed shares add up to 1.1; at most 1 allowed");
    std::string ten;
    for (int i = 0; i < 10; ++i) {
        ten += (ten.empty() ? "\"t" : ",\"t") + std::to_string(i) + R"(":{"guaranteed_share":0.1})";
    }
    BOOST_TEST(fault_of(with_workspaces(ten)).empty());
    BOOST_TEST(fault_of(with_workspaces(R"("a":{"services":["hodl"]})")) ==
               "b.json: teams.a.services names 'hodl', which is no service; did you mean 'hold'?");
    BOOST_TEST(fault_of(with_workspaces(R"("a":{"services":["hold","hold"]})")).find("twice") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(size_and_depth_are_bounded)
{
    BOOST_TEST(fault_of(std::string(max_bundle_bytes + 1, ' ')) ==
               "b.json: 1000001 bytes, at most 1000000 allowed");
    BOOST_TEST(fault_of(R"({"services":{"hold":{"requires":[[[[[[1]]]]]]}}})") ==
               "b.json: nested deeper than 8 levels");
}

BOOST_AUTO_TEST_CASE(differences_name_what_changed)
{
    const auto before = parse_bundle(with_workspaces(R"("a":{"services":["hold"]},"b":{})"), "before");
    const auto after =
        parse_bundle(with_workspaces(R"("a":{"services":["hold"],"weight":2},"c":{})"), "after");
    BOOST_REQUIRE(before);
    BOOST_REQUIRE(after);
    const auto changes = differences(before.value(), after.value());
    BOOST_REQUIRE(changes.size() == 3U);
    BOOST_TEST((changes[0] == difference{"teams.a.weight", "1.0", "2.0"}));
    BOOST_TEST(changes[1].path == "teams.b");
    BOOST_TEST(changes[1].after.empty());
    BOOST_TEST(changes[2].path == "teams.c");
    BOOST_TEST(to_text({changes[0]}) == "~ teams.a.weight: 1.0 -> 2.0\n");
    BOOST_TEST(differences(before.value(), before.value()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
