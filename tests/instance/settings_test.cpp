#include <boost/test/unit_test.hpp>

#include "instance/settings.h"

namespace poplarshed::instance::test {

namespace {

const std::string valid = R"({
  // comment
  "instance": {"name": "front-1", "data_centre": "ollur", "cpu_share": 0.25},
  "callers": {"listen": "127.0.0.1:1"},
  "peers": {"listen": "127.0.0.1:2", "key": "k", "seeds": ["127.0.0.1:3"]},
  "store": {"address": "127.0.0.1:4"}
})";

std::string without(const std::string& part)
{
    std::string text = valid;
    text.replace(text.find(part), part.size(), "");
    return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(instance_settings)

BOOST_AUTO_TEST_CASE(a_valid_file_is_read)
{
    const auto values = parse_settings(valid, "file");
    BOOST_REQUIRE(values.has_value());
    BOOST_TEST(values.value().name == "front-1");
    BOOST_TEST(values.value().cpu_milli == 250);
    BOOST_TEST(values.value().seeds.size() == 1U);
    BOOST_TEST(values.value().grace.count() == 6000);
    BOOST_TEST(values.value().peers.value() == "127.0.0.1:2");
}

// Guards against an instance that names the address behind a relay to its peers.
BOOST_AUTO_TEST_CASE(peers_may_use_another_address)
{
    std::string relayed = valid;
    relayed.replace(relayed.find("\"key\""), 5, R"("advertise": "127.0.0.1:9", "key")");
    const auto values = parse_settings(relayed, "file");
    BOOST_REQUIRE(values.has_value());
    BOOST_TEST(values.value().peers.value() == "127.0.0.1:9");
    BOOST_TEST(values.value().peers_listen.value() == "127.0.0.1:2");
}

// Guards against limits that do not fit the machine, or that an operator cannot change.
BOOST_AUTO_TEST_CASE(limits_of_callers_follow_the_machine_unless_they_are_set)
{
    const auto limits_of = [](const std::string& machine, const std::string& callers) {
        std::string text = valid;
        text.replace(text.find("\"cpu_share\""), 0, machine);
        text.replace(text.find("\"127.0.0.1:1\"") + 13, 0, callers);
        const auto values = parse_settings(text, "file");
        BOOST_REQUIRE_MESSAGE(values.has_value(), (values ? "" : values.error().message));
        return values.value().limits;
    };
    BOOST_TEST((limits_of("", "") == caller_limits{}));
    const std::string machine = R"("memory_mb": 120, "max_fds": 3075, )";
    BOOST_TEST(limits_of(machine, "").memory_mb == 48U);
    BOOST_TEST(limits_of(machine, "").connections == 1537U);
    const caller_limits set =
        limits_of(machine, R"(, "limits": {"memory_mb": 5, "head_timeout_ms": 50, "json_fields": 20})");
    BOOST_TEST(set.memory_mb == 5U);
    BOOST_TEST(set.head_timeout.count() == 50);
    BOOST_TEST(set.json_fields == 20U);
    BOOST_TEST(set.connections == 1537U);
}

// Guards against a limit of nought, with which no caller is served.
BOOST_AUTO_TEST_CASE(a_limit_out_of_its_bounds_is_named)
{
    std::string text = valid;
    text.replace(text.find("\"127.0.0.1:1\"") + 13, 0, R"(, "limits": {"connections": 0})");
    const auto values = parse_settings(text, "file");
    BOOST_REQUIRE(!values.has_value());
    BOOST_TEST(values.error().message.find("callers.limits.connections") != std::string::npos);
}

// Guards against a daemon that starts with settings that it does not understand.
BOOST_AUTO_TEST_CASE(faults_are_named)
{
    const auto fault = [](const std::string& text) {
        const auto values = parse_settings(text, "file");
        return values ? std::string() : values.error().message;
    };
    BOOST_TEST(fault("").find("file") != std::string::npos);
    BOOST_TEST(fault(without(R"("name": "front-1", )")).find("instance.name") != std::string::npos);
    BOOST_TEST(fault(without(R"("key": "k", )")).find("peers.key") != std::string::npos);
    std::string bad_address = valid;
    bad_address.replace(bad_address.find("127.0.0.1:4"), 11, "nowhere");
    BOOST_TEST(fault(bad_address).find("store.address") != std::string::npos);
    std::string misspelt = valid;
    misspelt.replace(misspelt.find("\"seeds\""), 7, "\"seed\"");
    BOOST_TEST(fault(misspelt).find("seed") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
