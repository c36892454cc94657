#include <boost/test/unit_test.hpp>

#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

http::response answered(int status, std::string body)
{
    http::response response;
    response.outcome = http::outcome_kind::answered;
    response.written = true;
    response.status = status;
    response.body = std::move(body);
    return response;
}

routing::route a_route()
{
    routing::route target;
    target.host = "h.example";
    target.prefix = "/p/";
    return target;
}

instance::caller_request submission(std::string body)
{
    instance::caller_request request;
    request.method = http::method::post;
    request.host = "h.example";
    request.path = "/p/5c0e7a21d94b36f8";
    request.time_limit_text = "2300";
    request.body = std::move(body);
    return request;
}

const platform_protocol codec;

}  // namespace

BOOST_AUTO_TEST_SUITE(users_platform)

BOOST_AUTO_TEST_SUITE(jobs_of_callers)

// Guards against fields that are read under another meaning.
BOOST_AUTO_TEST_CASE(a_job_is_decoded)
{
    const auto call = codec.decode_call(
        submission(
            R"({"spec":"s","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,
                   "affinity":"r1-3","anti_affinity":2,"constraints":"a"},{"count":1,"cpu":1,"after":[0]}]})"),
        a_route());
    BOOST_REQUIRE((call.kind == instance::call_kind::submit));
    BOOST_TEST(call.job.job.value() == "5c0e7a21d94b36f8");
    BOOST_TEST(call.job.time_limit.count() == 2300);
    BOOST_REQUIRE_EQUAL(call.job.steps.size(), 2U);
    BOOST_TEST(call.job.steps[0].tasks == 4U);
    BOOST_TEST(call.job.steps[0].max_per_worker == 2U);
    BOOST_TEST(call.job.steps[0].preferred_label == "r1-3");
    BOOST_TEST(call.job.steps[0].required_label == "a");
    BOOST_TEST(call.job.steps[1].after.size() == 1U);
}

// Guards against work that is accepted and cannot be done as asked, and against crashes by broken bodies.
BOOST_AUTO_TEST_CASE(what_cannot_be_served_is_refused)
{
    for (const char* body : {"", "[]", "{", R"({"spec":1,"steps":[{"count":1}]})",
                             R"({"spec":"s","best_effort":true,"steps":[]})",
                             R"({"spec":"s","best_effort":true,"steps":[{"count":0}]})",
                             R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":-1}]})",
                             R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1,"after":[0]}]})",
                             R"({"spec":"s","best_effort":true,"steps":[{"count":5000,"cpu":1}]})",
                             R"({"spec":"s","best_effort":true,"steps":[{"count":2,"cpu":1,"gang":true}]})",
                             R"({"spec":"s","steps":[{"count":1,"cpu":1}]})"}) {
        BOOST_TEST((codec.decode_call(submission(body), a_route()).kind == instance::call_kind::invalid),
                   body);
    }
}

// Guards against bodies of legal size whose document tree takes a hundred times their text.
BOOST_AUTO_TEST_CASE(a_body_of_too_many_fields_or_levels_is_refused)
{
    const auto call_of = [](const platform_protocol& limited, const std::string& extra) {
        return limited.decode_call(
            submission(R"({"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1}],"x":)" + extra + "}"),
            a_route());
    };
    std::string many = "[0";
    for (int i = 0; i < 50'000; ++i) {
        many += ",0";
    }
    const auto refused = call_of(codec, many + "]");
    BOOST_TEST((refused.kind == instance::call_kind::invalid));
    BOOST_TEST((refused.reason == refusal_reason::invalid_body));
    BOOST_TEST(codec.encode_refusal(refused.reason, {}).status == 400);
    BOOST_TEST((call_of(codec, "[0]").kind == instance::call_kind::submit));
    const platform_protocol strict({1000, 4});
    BOOST_TEST((call_of(strict, "[[[0]]]").kind == instance::call_kind::submit));
    BOOST_TEST((call_of(strict, "[[[[0]]]]").kind == instance::call_kind::invalid));
}

// Guards against a refusal that the caller takes for an error of its own.
BOOST_AUTO_TEST_CASE(statuses_say_what_happened)
{
    BOOST_TEST(codec.encode_refusal(refusal_reason::unknown_service, {}).status == 404);
    BOOST_TEST(codec.encode_refusal(refusal_reason::deadline_unreachable, {}).status == 503);
    BOOST_TEST(codec.encode_refusal(refusal_reason::not_ready, {}).status == 503);
    routing::answer_caller answer;
    answer.kind = routing::answer_kind::unknown_end;
    BOOST_TEST(codec.encode_answer(answer).status == 504);
    answer.kind = routing::answer_kind::completed;
    BOOST_TEST(codec.encode_answer(answer).body == R"({"state":"completed"})");
}

BOOST_AUTO_TEST_CASE(other_calls_are_told_apart)
{
    instance::caller_request request;
    request.path = "/p/";
    BOOST_TEST((codec.decode_call(request, a_route()).kind == instance::call_kind::count));
    request.path = "/p/5c0e7a21d94b36f8";
    BOOST_TEST((codec.decode_call(request, a_route()).kind == instance::call_kind::state));
    request.method = http::method::remove;
    BOOST_TEST((codec.decode_call(request, a_route()).kind == instance::call_kind::cancel));
    request.path = "/p/xyz";
    BOOST_TEST((codec.decode_call(request, a_route()).kind == instance::call_kind::invalid));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(orders_to_workers)

// Guards against a start that cannot be matched with its end.
BOOST_AUTO_TEST_CASE(the_name_of_a_task_survives_the_round_trip)
{
    workers::start_command order;
    order.target = {workers::worker_id("i-1"), endpoint("10.0.0.1:1")};
    order.task = {workers::job_id("5c0e7a21d94b36f8"), 2, 17};
    order.run = workers::run_number(5);
    const http::request request = codec.encode(order);
    BOOST_TEST(request.body.find(R"("task":"5c0e7a21d94b36f8.0.2.17")") != std::string::npos);
    BOOST_TEST(request.headers[1].second == "i-1");
    workers::list_command list;
    list.target = order.target;
    const auto listed = codec.decode_list(
        list, answered(200, R"({"clock_ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.2.17",5,"",41]],
                       "finished":[[58,"5c0e7a21d94b36f8.0.2.16",4,"done",""],["bad"],[1,"x",2,"done",""]]})"));
    BOOST_REQUIRE(listed.has_value());
    BOOST_TEST(listed.value().incarnation == 9U);
    BOOST_REQUIRE_EQUAL(listed.value().running.size(), 1U);
    BOOST_TEST((listed.value().running[0].task == order.task));
    BOOST_REQUIRE_EQUAL(listed.value().ended.size(), 1U);
    BOOST_TEST((listed.value().ended[0].end == workers::run_end::done));
}

// Guards against a worker that is only silent being taken for one that refuses connections.
BOOST_AUTO_TEST_CASE(a_list_without_an_answer)
{
    using workers::list_failure;
    const workers::list_command order;
    http::response ended;
    BOOST_TEST((codec.decode_list(order, ended).error() == list_failure::unanswered));
    ended.written = true;
    ended.outcome = http::outcome_kind::timed_out;
    BOOST_TEST((codec.decode_list(order, ended).error() == list_failure::unanswered));
    ended.outcome = http::outcome_kind::lost;
    BOOST_TEST((codec.decode_list(order, ended).error() == list_failure::connection_lost));
    ended.refused = true;
    BOOST_TEST((codec.decode_list(order, ended).error() == list_failure::connection_refused));
    BOOST_TEST((codec.decode_list(order, answered(421, "")).error() == list_failure::other_incarnation));
}

// Guards against a retry after a start that may run, and against a wait after one that does not.
BOOST_AUTO_TEST_CASE(answers_to_a_start)
{
    using workers::start_outcome;
    const workers::start_command order;
    const auto outcome = [&](const http::response& response) {
        return codec.decode_start(order, response).outcome;
    };
    BOOST_TEST((outcome(answered(200, R"({"clock_ms":1})")) == start_outcome::started));
    BOOST_TEST((outcome(answered(409, R"({"clock_ms":1,"reason":"fence"})")) == start_outcome::fenced));
    BOOST_TEST((outcome(answered(409, R"({"reason":"room"})")) == start_outcome::no_room));
    BOOST_TEST((outcome(answered(409, "?")) == start_outcome::rejected));
    BOOST_TEST((outcome(answered(503, "")) == start_outcome::unhealthy));
    BOOST_TEST((outcome(answered(421, "")) == start_outcome::other_incarnation));
    BOOST_TEST((outcome(answered(500, "")) == start_outcome::unanswered));
    http::response lost;
    BOOST_TEST((outcome(lost) == start_outcome::unreachable));
    lost.written = true;
    lost.outcome = http::outcome_kind::timed_out;
    BOOST_TEST((outcome(lost) == start_outcome::unanswered));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(items_of_the_store)

// Guards against entries of other writers that stop the reading of the rest.
BOOST_AUTO_TEST_CASE(entries_that_cannot_be_read_name_no_worker)
{
    const std::string good =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":16000,"mem_mb":1},
           "labels":["a","r1-3"],"born":4})";
    const auto entry = codec.decode_worker("servers/i-7", good);
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST(entry.value().id.value() == "i-7");
    BOOST_TEST(entry.value().capacity.cpu_milli == 16000);
    BOOST_TEST(!entry.value().draining);
    for (const char* bad :
         {"", "[1]", "\xff\xfe", R"({"service":"s"})",
          R"({"service":"s","address":"x","zone":"z","state":"ready","capacity":{"cpu":1}})",
          R"({"service":"s","address":"x:1","zone":"z","state":"odd","capacity":{"cpu":1}})",
          R"({"service":"s","address":"x:1","zone":"z","state":"ready","capacity":{"cpu":"1"}})"}) {
        BOOST_TEST(!codec.decode_worker("servers/i-7", bad).has_value(), bad);
    }
}

BOOST_AUTO_TEST_CASE(values_are_base64)
{
    const auto page = codec.decode_items(answered(
        200,
        R"({"items":[{"key":"k","value":"bm9kZS0x","revision":412},{"key":"l","value":"!","revision":413}],
                 "has_more":true,"store_revision":530})"));
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().items[0].value == "node-1");
    BOOST_TEST(page.value().items[1].value.empty());
    BOOST_TEST(page.value().more);
    BOOST_TEST(page.value().revision == 530U);
    instance::store_write write;
    write.key = "k";
    write.value = "node-1";
    write.expected_revision = 0;
    BOOST_TEST(codec.write_item(write).body.find("bm9kZS0x") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_lost_history_is_told_apart_from_a_failure)
{
    BOOST_TEST((codec.decode_items(answered(410, "")).error() == instance::store_status::history_lost));
    BOOST_TEST((codec.decode_items(answered(503, "")).error() == instance::store_status::failed));
    BOOST_TEST((codec.decode_answer(answered(412, "{}")).status == instance::store_status::conflict));
    BOOST_TEST((codec.decode_answer(answered(404, "")).status == instance::store_status::lease_lapsed));
    BOOST_TEST((codec.decode_answer({}).status == instance::store_status::failed));
}

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded)
{
    const auto found = codec.decode_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","slo_ms":60,"priority":1,"service":"s",
            "max_attempts":4,"stretch":1.6},{"name":"q","host":"h","prefix":"/p/q/","service":"t"}],"limits":{}})");
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found.value().version == 7U);
    BOOST_TEST(found.value().find("h", "/p/1")->allowance.count() == 60);
    BOOST_TEST(found.value().find("h", "/p/q/1")->name == "q");
    BOOST_TEST((found.value().find("g", "/p/1") == nullptr));
    BOOST_TEST(!codec.decode_configuration("{}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
