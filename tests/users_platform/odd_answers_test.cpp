#include <boost/test/unit_test.hpp>

#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

const platform_protocol codec;

http::response answered(std::string body, int status = 200)
{
    http::response response;
    response.outcome = http::outcome_kind::answered;
    response.written = true;
    response.status = status;
    response.body = std::move(body);
    return response;
}

auto listed(const std::string& fields, std::uint64_t acknowledged = 0)
{
    workers::list_command order;
    order.acknowledged = acknowledged;
    return codec.decode_list(order, answered(R"({"clock_ms":5,"born":9,)" + fields + "}"));
}

instance::caller_call submitted(const std::string& step, const std::string& time_limit = "2300")
{
    routing::route target;
    target.prefix = "/p/";
    instance::caller_request request;
    request.method = http::method::post;
    request.path = "/p/5c0e7a21d94b36f8";
    request.time_limit_text = time_limit;
    request.body = R"({"spec":"s","best_effort":true,"steps":[)" + step + "]}";
    return codec.decode_call(request, target);
}

constexpr const char* good_row = R"(["5c0e7a21d94b36f8.0.0.1",3,"",40])";

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_answers)

BOOST_AUTO_TEST_SUITE(of_a_worker)

// Guards against a process that ends by exhausting its stack while it copies a deep answer.
BOOST_AUTO_TEST_CASE(a_deep_list_is_no_usable_answer)
{
    const std::size_t depth = 500'000;
    BOOST_TEST(!listed("\"running\":" + std::string(depth, '[') + std::string(depth, ']')).has_value());
}

// Guards against conversions of numbers that no integer holds, which are undefined, and against a row whose
// oddity hides the others.
BOOST_AUTO_TEST_CASE(an_odd_number_costs_no_other_row)
{
    for (const char* odd :
         {R"(["5c0e7a21d94b36f8.0.0.2",-1,"",1])", R"(["5c0e7a21d94b36f8.0.0.2",1e300,"",1])",
          R"(["5c0e7a21d94b36f8.0.0.2",3,"",1e300])", R"(["x",{},[],null])", "7", "null",
          R"(["5c0e7a21d94b36f8.0.0.2",99999999999999999999999,"",1])"}) {
        const auto found = listed(std::string(R"("running":[)") + odd + "," + good_row + "]");
        BOOST_REQUIRE_MESSAGE(found.has_value(), odd);
        BOOST_REQUIRE_MESSAGE(!found.value().running.empty(), odd);
        BOOST_TEST(found.value().running.back().run.value() == 3U);
        for (const auto& row : found.value().running) {
            BOOST_TEST(row.percent >= 0);
            BOOST_TEST(row.percent <= 100);
            BOOST_TEST(row.run.value() <= 3U);
        }
    }
}

// Guards against a run that counts as ended, and is started elsewhere, since its row has an odd number.
BOOST_AUTO_TEST_CASE(a_run_with_an_odd_number_is_still_listed)
{
    const auto found = listed(R"("running":[["5c0e7a21d94b36f8.0.0.2","3","",1]])");
    BOOST_REQUIRE(found.has_value());
    BOOST_REQUIRE_EQUAL(found.value().running.size(), 1U);
    BOOST_TEST(found.value().running[0].task.index == 2U);
}

// Guards against one end that is acknowledged far ahead, after which no end of the worker is taken.
BOOST_AUTO_TEST_CASE(an_end_far_ahead_is_not_taken)
{
    for (const char* odd : {"9223372036854775808", "1e300", "-1", "4000000000", "2000000", "1.5"}) {
        const auto found =
            listed(std::string(R"("finished":[[)") + odd + R"(,"5c0e7a21d94b36f8.0.0.2",3,"done",""],)" +
                   R"([58,"5c0e7a21d94b36f8.0.0.1",3,"done",""],[59,"5c0e7a21d94b36f8.0.0.3",3,"done",""]])");
        BOOST_REQUIRE(found.has_value());
        BOOST_REQUIRE_EQUAL(found.value().ended.size(), 2U);
        BOOST_TEST(found.value().ended[1].number == 59U);
    }
    BOOST_TEST(
        listed(R"("finished":[[1000000,"5c0e7a21d94b36f8.0.0.1",3,"done",""]])", 57).value().ended.empty());
    // The first answer that a new holder of the pool gets.
    BOOST_TEST(
        listed(R"("finished":[[1000000,"5c0e7a21d94b36f8.0.0.1",3,"done",""]])").value().ended.size() == 1U);
}

// Guards against a task that no job can have, which wraps around to another task of its job.
BOOST_AUTO_TEST_CASE(a_task_beyond_the_bounds_of_a_job_is_skipped)
{
    const auto found = listed(
        R"("running":[["5c0e7a21d94b36f8.0.0.4294967295",3,"",1],["5c0e7a21d94b36f8.0.99999.1",3,"",1]])");
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found.value().running.empty());
}

// Guards against leases that are computed from a clock or a start that cannot be.
BOOST_AUTO_TEST_CASE(an_odd_clock_or_start_is_no_usable_answer)
{
    for (const char* odd :
         {R"({"clock_ms":-1,"born":9})", R"({"clock_ms":9e18,"born":9})", R"({"born":9})",
          R"({"clock_ms":"5","born":9})", R"({"clock_ms":5,"born":1e300})", R"({"clock_ms":5,"born":1.5})",
          R"({"clock_ms":5,"born":9,"running":"x"})", R"({"clock_ms":5,"born":9,"finished":{}})"}) {
        BOOST_TEST(!codec.decode_list({}, answered(odd)).has_value(), odd);
    }
    const auto reply = codec.decode_start({}, answered(R"({"clock_ms":9e18})"));
    BOOST_TEST(!reply.clock_ms.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_caller)

// Guards against sums and products of work that overflow, and against numbers that lose their upper bits.
BOOST_AUTO_TEST_CASE(numbers_beyond_any_worker_are_refused)
{
    for (const char* odd :
         {R"({"count":1,"cpu":9000000000000000})", R"({"count":1,"cpu":1,"estimate_ms":9000000000000000})",
          R"({"count":1,"cpu":1,"mem_mb":9000000000000000})", R"({"count":1,"cpu":1,"gpu":9000000000})",
          R"({"count":1.5,"cpu":1})", R"({"count":1,"cpu":1},{"count":1,"cpu":1,"after":0})",
          R"({"count":1,"cpu":1},{"count":1,"cpu":1,"after":[0.5]})",
          R"({"count":1,"cpu":1,"anti_affinity":-1})"}) {
        BOOST_TEST((submitted(odd).kind == instance::call_kind::invalid), odd);
    }
    // As a 32-bit number it would be 0, which means no limit.
    const auto limited = submitted(R"({"count":1,"cpu":1,"anti_affinity":4294967296})");
    BOOST_REQUIRE((limited.kind == instance::call_kind::submit));
    BOOST_TEST(limited.job.steps.at(0).max_per_worker > 0U);
}

// Guards against a deadline beyond the range of the clock, which lies in the past.
BOOST_AUTO_TEST_CASE(a_huge_time_limit_is_bounded)
{
    for (const char* odd : {"9223372036854775807", "99999999999999999999", "-5", "x", "1e400"}) {
        const auto call = submitted(R"({"count":1,"cpu":1})", odd);
        BOOST_REQUIRE((call.kind == instance::call_kind::submit));
        BOOST_TEST(call.job.time_limit.count() > 0, odd);
        BOOST_TEST(call.job.time_limit.count() <= 86'400'000, odd);
    }
}

// Guards against work on a body in proportion to its depth.
BOOST_AUTO_TEST_CASE(a_deep_body_is_refused)
{
    BOOST_TEST((submitted(std::string(500'000, '[')).kind == instance::call_kind::invalid));
    const std::string deep = std::string(500'000, '[') + std::string(500'000, ']');
    BOOST_TEST((submitted(R"({"count":1,"cpu":1,"x":)" + deep + "}").kind == instance::call_kind::invalid));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_store)

// Guards against a list that counts as complete although it could not be read: everything that it does not
// show would be dropped.
BOOST_AUTO_TEST_CASE(a_page_without_its_envelope_is_a_failure)
{
    for (const char* odd : {"{}", R"({"items":[]})", R"({"items":{},"store_revision":5})",
                            R"({"items":"x","store_revision":5})", R"({"items":[],"store_revision":-5})",
                            R"({"items":[],"store_revision":"5"})", R"({"items":[],"store_revision":1e17})",
                            R"({"items":[],"store_revision":5,"has_more":"yes"})"}) {
        BOOST_TEST(!codec.decode_items(answered(odd)).has_value(), odd);
    }
    BOOST_TEST(codec.decode_items(answered(R"({"store_revision":5})")).has_value());
}

// Guards against an item that counts as absent, and against one that raises the position of the feed.
BOOST_AUTO_TEST_CASE(an_item_with_an_odd_revision_keeps_its_key_and_no_more)
{
    for (const char* odd : {"-1", "0", "1e300", "\"7\"", "9000000000000000", "531", "1.5"}) {
        const auto page = codec.decode_items(
            answered(std::string(R"({"items":[{"key":"k","value":"bm9kZS0x","revision":)") + odd +
                     R"(},{"key":"l","value":"bm9kZS0x","revision":7}],"store_revision":530})"));
        BOOST_REQUIRE_MESSAGE(page.has_value(), odd);
        BOOST_REQUIRE_EQUAL(page.value().items.size(), 2U);
        BOOST_TEST(page.value().items[0].key == "k", odd);
        BOOST_TEST(page.value().items[0].revision == 0U, odd);
        BOOST_TEST(page.value().items[1].revision == 7U, odd);
    }
}

// Guards against a lease or a token that is cut down to another one.
BOOST_AUTO_TEST_CASE(odd_numbers_of_answers_count_as_0)
{
    BOOST_TEST(codec.decode_answer(answered(R"({"lease":-1})")).lease == 0U);
    BOOST_TEST(codec.decode_answer(answered(R"({"lease":1.5})")).lease == 0U);
    BOOST_TEST(codec.decode_answer(answered(R"({"revision":9000000000000000})")).revision == 0U);
    BOOST_TEST(codec.decode_answer(answered(R"({"revision":1e300})")).revision == 0U);
    BOOST_TEST(codec.decode_answer(answered(R"({"lease":18446744073709551615})")).lease ==
               18446744073709551615U);
}

// Guards against base64 whose padding is longer than what it holds.
BOOST_AUTO_TEST_CASE(odd_base64_is_an_empty_value)
{
    for (const char* odd : {"=", "==", "===", "====", "A", "A===", "    ", " ==", "QQ==QQ==", "Q=Q="}) {
        const auto page =
            codec.decode_items(answered(std::string(R"({"items":[{"key":"k","revision":7,"value":")") + odd +
                                        R"("}],"store_revision":530})"));
        BOOST_REQUIRE(page.has_value());
        BOOST_TEST(page.value().items.at(0).value.empty(), odd);
    }
}

// Guards against numbers of the configuration that lose their upper bits or overflow later.
BOOST_AUTO_TEST_CASE(numbers_of_the_configuration_are_bounded)
{
    const auto found = codec.decode_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","slo_ms":9000000000000000,
            "priority":4294967296,"max_attempts":4294967296,"stretch":1e300}],"limits":{}})");
    BOOST_REQUIRE(found.has_value());
    const routing::route& item = found.value().routes.at(0);
    BOOST_TEST(item.priority > 0U);
    BOOST_TEST(item.max_attempts > 0U);
    BOOST_TEST(item.stretch <= 1e6);
    BOOST_TEST(item.allowance.count() <= 86'400'000);
    BOOST_TEST(!codec.decode_configuration(R"({"version":"7","routes":[]})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
