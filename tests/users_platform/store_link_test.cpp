#include <boost/test/unit_test.hpp>

#include "instance/store_link.h"
#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

/// A store link whose calls are answered by the test.
struct fixture {
    fixture() : link({endpoint("10.0.0.1:1"), data_centre_id("ollur")}, codec, items) {}

    static http::response answered(int status, const std::string& body)
    {
        http::response response;
        response.outcome = http::outcome_kind::answered;
        response.status = status;
        response.body = body;
        return response;
    }

    static std::string worker_item(const std::string& id, int revision, const char* state)
    {
        instance::store_write write;
        write.value = std::string(R"({"service":"s","address":"10.0.1.1:1","zone":"ollur","state":")") +
                      state + R"(","capacity":{"cpu":32000}})";
        const std::string body = codec.write_item(write).body;
        const auto begin = body.find(R"("value":")") + 9;
        std::string row = R"({"key":"servers/)";
        row.append(id).append(R"(","revision":)").append(std::to_string(revision));
        return row.append(R"(,"value":")").append(body, begin, body.find('"', begin) - begin).append(R"("})");
    }

    /// Answers every call that is due a moment later; worker calls with `changed`, the others with nothing.
    void answer(const std::string& changed, int revision)
    {
        now += milliseconds(400);
        items.forget_vanished(now);
        const std::string rest = R"(,"has_more":false,"store_revision":)" + std::to_string(revision) + "}";
        for (const instance::store_call& call : link.due(now)) {
            const bool workers = call.request.target.find("servers") != std::string::npos;
            const bool list = call.kind == instance::store_call::purpose::list;
            const bool watch = call.kind == instance::store_call::purpose::watch;
            const std::string rows = workers ? changed : std::string();
            std::string body(list ? R"({"items":[)" : R"({"events":[)");
            body.append(rows).append("]").append(rest);
            link.on_answer(now, call, answered(200, list || watch ? body : R"({"lease":4,"ttl_ms":1500})"));
        }
    }

    /// Lets time pass in which the store answers and nothing changes.
    void pass(milliseconds time, int revision)
    {
        const time_point until = now + time;
        while (now < until) {
            answer("", revision);
        }
    }

    static inline const platform_protocol codec;
    bool is_complete() const { return link.watches(now) && items.complete(now); }

    time_point now{seconds(1000)};
    instance::directory items{codec, "front-1", 1};
    instance::store_link link;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_link)

// Guards against a start of a task whose worker has lapsed from the store and runs on: a cut between the two
// shows as a removal while the store itself is well.
BOOST_AUTO_TEST_CASE(the_directory_is_incomplete_after_a_worker_has_lapsed)
{
    fixture f;
    f.answer(fixture::worker_item("i-1", 5, "ready") + "," + fixture::worker_item("i-2", 6, "draining"), 6);
    f.pass(seconds(40), 6);
    BOOST_TEST(f.items.workers().size() == 2U);
    BOOST_TEST(f.is_complete());
    f.answer(R"({"key":"servers/i-2","revision":7,"removed":true})", 7);
    f.pass(milliseconds(800), 7);
    BOOST_TEST(f.items.workers().size() == 1U);
    BOOST_TEST(f.is_complete());
    f.answer(R"({"key":"servers/i-1","revision":8,"removed":true})", 8);
    f.pass(milliseconds(800), 8);
    BOOST_TEST(f.items.workers().empty());
    BOOST_TEST(!f.is_complete());
}

// Guards against the same in a process that has not been there when the worker lapsed.
BOOST_AUTO_TEST_CASE(the_directory_is_incomplete_after_a_start)
{
    fixture f;
    f.answer(fixture::worker_item("i-1", 5, "ready"), 5);
    f.pass(seconds(5), 5);
    BOOST_TEST(f.link.watches(f.now));
    BOOST_TEST(!f.is_complete());
}

// Guards against workers that are dropped because the store was away for a moment.
BOOST_AUTO_TEST_CASE(entries_that_lapse_in_an_outage_stay_for_a_while)
{
    fixture f;
    f.answer(fixture::worker_item("i-1", 5, "ready"), 5);
    f.pass(seconds(2), 5);
    for (const instance::store_call& call : f.link.due(f.now += milliseconds(400))) {
        f.link.on_answer(f.now, call, {});
    }
    f.now += milliseconds(400);
    f.answer("", 9);
    BOOST_TEST(f.items.workers().size() == 1U);
    f.pass(seconds(4), 9);
    BOOST_TEST(f.items.workers().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
