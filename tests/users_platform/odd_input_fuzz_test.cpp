#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "instance/guarded_protocol.h"
#include "instance/store_link.h"
#include "peer/address.h"
#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

using instance::store_item;

const platform_protocol codec;

constexpr std::uint64_t default_seed = 7001;
constexpr int default_rounds = 20'000;

std::uint64_t from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Changes valid documents into odd ones: types, numbers, depth, bytes, length.
class mutator {
public:
    explicit mutator(std::uint64_t seed) : m_random(seed) {}

    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::string mutated(std::string text)
    {
        for (std::size_t i = below(3); i < 3; ++i) {
            text = below(3) == 0 ? with_odd_bytes(std::move(text)) : with_odd_token(std::move(text));
        }
        return text;
    }

    std::uint64_t revision()
    {
        static constexpr std::array<std::uint64_t, 6> odd{
            0, 1, 1U << 20U, instance::max_revision, instance::max_revision + 1, ~std::uint64_t{0}};
        return below(3) == 0 ? odd.at(below(odd.size())) : ++m_revision;
    }

private:
    std::string token()
    {
        static const std::vector<std::string> odd{"0",
                                                  "-1",
                                                  "1.5",
                                                  "1e300",
                                                  "1e400",
                                                  "-1e400",
                                                  "9223372036854775807",
                                                  "9223372036854775808",
                                                  "18446744073709551615",
                                                  "18446744073709551616",
                                                  "99999999999999999999999",
                                                  "-9223372036854775809",
                                                  "NaN",
                                                  "Infinity",
                                                  "null",
                                                  "true",
                                                  "[]",
                                                  "{}",
                                                  "\"\"",
                                                  "\"0\"",
                                                  "\"\\u0000\"",
                                                  "\"\\ud800\"",
                                                  "\"\xff\"",
                                                  "\"10.0.0.1:0\"",
                                                  "\"10.0.0.1:65536\"",
                                                  "\"10.0.0.1:1\\r\\nX: 1\"",
                                                  "\"[::1]:1\"",
                                                  "\"a/b\"",
                                                  "65536",
                                                  "2147483648",
                                                  "4294967296",
                                                  "9007199254740993"};
        const std::size_t place = below(odd.size() + 2);
        if (place < odd.size()) {
            return odd[place];
        }
        const std::size_t depth = 1 + below(place == odd.size() ? 40 : 20'000);
        return std::string(depth, '[') + (below(2) == 0 ? std::string(depth, ']') : std::string());
    }

    // Replaces a value, from a colon or bracket to the next end of a value.
    std::string with_odd_token(std::string text)
    {
        const std::size_t begin = text.find_first_of(":[", text.empty() ? 0 : below(text.size()));
        if (begin == std::string::npos) {
            return text;
        }
        const std::size_t end = text.find_first_of(",}]", begin + 1);
        return text.replace(begin + 1, end == std::string::npos ? end : end - begin - 1, token());
    }

    std::string with_odd_bytes(std::string text)
    {
        if (text.empty()) {
            return text;
        }
        const std::size_t place = below(text.size());
        switch (below(4)) {
            case 0:
                text.resize(place);
                break;
            case 1:
                text[place] = static_cast<char>(below(256));
                break;
            case 2:
                text.erase(place, 1 + below(8));
                break;
            default:
                text.insert(place, text.substr(place / 2, below(64)));
                break;
        }
        return text;
    }

    std::mt19937_64 m_random;
    std::uint64_t m_revision = 10;
};

http::response answered(std::string body, int status = 200)
{
    http::response response;
    response.outcome = http::outcome_kind::answered;
    response.written = true;
    response.status = status;
    response.body = std::move(body);
    return response;
}

const std::string valid_worker =
    R"({"service":"s","address":"10.0.1.1:1","zone":"ollur","state":"ready","capacity":{"cpu":32000,"mem_mb":9},)"
    R"("labels":["a","r1-3"],"born":1780000000000,"seq":4})";
const std::string valid_list =
    R"({"clock_ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.2.17",5,"",41,3]],)"
    R"("finished":[[58,"5c0e7a21d94b36f8.0.2.16",4,"done",""],[59,"5c0e7a21d94b36f8.0.2.15",4,"failed",""]]})";
const std::string valid_page =
    R"({"items":[{"key":"poplarshed/instances/b","revision":4,"value":"eyJhZGRyZXNzIjoiMTAuMC4wLjI6MSJ9"},)"
    R"({"key":"servers/i-1","revision":412,"value":"bm9kZS0x","lease":4},{"key":"servers/i-2","revision":413,)"
    R"("removed":true}],"has_more":true,"store_revision":530})";
const std::string valid_configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","slo_ms":60,"priority":1,"service":"s",)"
    R"("max_attempts":4,"stretch":1.6}],"services":[],"limits":{"max_body_bytes":65536}})";
const std::string valid_job =
    R"({"spec":"s","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
    R"("affinity":"r1-3","anti_affinity":2,"constraints":"a"},{"count":1,"cpu":1,"after":[0]}]})";
const std::string valid_record = R"({"address":"10.0.0.2:1","data_centre":"ollur"})";
const std::string valid_layout = R"({"pools":3})";

void check_worker(const workers::worker_entry& entry)
{
    BOOST_REQUIRE(peer::is_connectable(entry.address));
    BOOST_REQUIRE(entry.capacity.cpu_milli > 0 && entry.capacity.cpu_milli <= 10'000'000);
    BOOST_REQUIRE(entry.service.value().find('/') == std::string::npos && !entry.service.empty());
    BOOST_REQUIRE(entry.data_centre.value().find('/') == std::string::npos && !entry.data_centre.empty());
}

void check_list(const instance::decoded_listing& listed)
{
    BOOST_REQUIRE(listed.clock_ms >= 0);
    for (const workers::listed_run& item : listed.running) {
        BOOST_REQUIRE(item.task.index < 1300 && item.task.step < 1300);
        BOOST_REQUIRE(item.percent >= 0 && item.percent <= 100);
    }
    for (const workers::listed_end& item : listed.ended) {
        BOOST_REQUIRE(item.number <= 1'000'000'000);
    }
}

void check_job(const instance::caller_call& call)
{
    if (call.kind != instance::call_kind::submit) {
        return;
    }
    BOOST_REQUIRE(call.job.time_limit.count() > 0 && call.job.time_limit.count() <= 3'600'000);
    for (const workers::job_step& step : call.job.steps) {
        BOOST_REQUIRE(step.tasks >= 1 && step.tasks <= 1300);
        BOOST_REQUIRE(step.estimate.count() >= 0 && step.estimate.count() <= 3'600'000);
    }
}

struct seeded {
    std::uint64_t seed = from_environment("POPLARSHED_FUZZ_SEED", default_seed);
    int rounds = static_cast<int>(from_environment("POPLARSHED_FUZZ_ROUNDS", default_rounds));
    mutator random{seed};

    seeded() { BOOST_TEST_MESSAGE("POPLARSHED_FUZZ_SEED=" << seed << " POPLARSHED_FUZZ_ROUNDS=" << rounds); }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_input)

// Guards against an exception, or a value out of its range, that leaves a decoder for any input.
BOOST_FIXTURE_TEST_CASE(decoders_stay_within_their_bounds, seeded)
{
    routing::route target;
    target.prefix = "/p/";
    instance::caller_request request;
    request.method = http::method::post;
    request.path = "/p/5c0e7a21d94b36f8";
    std::array<std::size_t, 5> usable{};
    for (int i = 0; i < rounds; ++i) {
        const auto worker = codec.decode_worker("servers/i-1", random.mutated(valid_worker));
        const auto list = codec.decode_list({}, answered(random.mutated(valid_list)));
        const auto page = codec.decode_items(answered(random.mutated(valid_page)));
        const auto configuration = codec.decode_configuration(random.mutated(valid_configuration));
        codec.decode_answer(answered(random.mutated(R"({"lease":4,"ttl_ms":1500,"revision":9})")));
        codec.decode_start({}, answered(random.mutated(R"({"clock_ms":4,"reason":"fence"})"), 409));
        request.body = random.mutated(valid_job);
        request.time_limit_text = random.mutated("2300");
        const auto call = codec.decode_call(request, target);
        check_job(call);
        if (worker) {
            check_worker(worker.value());
        }
        if (list) {
            check_list(list.value());
        }
        if (page) {
            for (const store_item& item : page.value().items) {
                BOOST_REQUIRE(item.revision <= page.value().revision);
            }
        }
        usable[0] += worker ? 1 : 0;
        usable[1] += list ? 1 : 0;
        usable[2] += page ? 1 : 0;
        usable[3] += configuration ? 1 : 0;
        usable[4] += call.kind == instance::call_kind::submit ? 1 : 0;
    }
    // Mutations that spoil everything, or nothing, would test little.
    for (const std::size_t count : usable) {
        BOOST_TEST_MESSAGE("usable: " << count);
        BOOST_TEST(count > static_cast<std::size_t>(rounds) / 100);
        BOOST_TEST(count < static_cast<std::size_t>(rounds) * 99 / 100);
    }
}

// Guards against odd items that cost another one, whatever their order, and that stop the core thread.
BOOST_FIXTURE_TEST_CASE(the_directory_keeps_what_is_valid, seeded)
{
    const instance::guarded_protocol guarded(codec);
    instance::directory items(guarded, "front-1", 1);
    time_point now{seconds(1000)};
    const std::vector<std::pair<std::string, const std::string*>> kinds{
        {"servers/i-odd", &valid_worker},
        {"poplarshed/instances/odd", &valid_record},
        {"poplarshed/pools/ollur/s/3.0", &valid_record},
        {"poplarshed/layouts/ollur/odd", &valid_layout},
        {"op/config", &valid_configuration}};
    items.on_list(now, "servers/", {{"servers/i-true", valid_worker, 5, false}});
    items.on_list(now, "poplarshed/",
                  {{"poplarshed/layouts/ollur/s", valid_layout, 6, false},
                   {"poplarshed/instances/true", valid_record, 7, false}});
    for (int i = 0; i < rounds; ++i) {
        now += milliseconds(1);
        const auto& [key, valid] = kinds[random.below(kinds.size())];
        const std::string odd_key = random.below(8) == 0 ? random.mutated(key) : key;
        if (odd_key.ends_with("true") || odd_key == "poplarshed/layouts/ollur/s") {
            continue;
        }
        const store_item odd{odd_key, random.mutated(*valid), random.revision(), random.below(16) == 0};
        if (random.below(4) == 0) {
            workers::directory_push push;
            push.items.push_back({odd.key, odd.revision, odd.value});
            items.on_relay(now, push);
        } else {
            items.on_events(now, {odd});
        }
        BOOST_REQUIRE(items.contains("servers/i-true"));
        BOOST_REQUIRE(items.revision() <= instance::max_revision);
        BOOST_REQUIRE(items.take_skipped().size() <= 1);
        items.take_changes();
        for (const auto& [pool, members] :
             routing::divide_into_pools(items.workers(), items.own().layout())) {
            BOOST_REQUIRE(!members.empty());
        }
        for (const endpoint& address : items.own().instances()) {
            BOOST_REQUIRE(peer::is_connectable(address));
        }
    }
    const auto left = items.workers();
    BOOST_TEST(std::any_of(left.begin(), left.end(),
                           [](const auto& entry) { return entry.id.value() == "i-true"; }));
}

// Guards against a feed that a page or an answer of the store has stopped for good.
BOOST_FIXTURE_TEST_CASE(the_store_link_recovers_from_any_answer, seeded)
{
    const instance::guarded_protocol guarded(codec);
    instance::directory items(guarded, "front-1", 1);
    instance::store_link link({endpoint("10.0.0.1:1"), data_centre_id("ollur")}, guarded, items);
    time_point now{seconds(1000)};
    const auto answer = [&](bool odd) {
        now += milliseconds(500);
        for (const instance::store_call& call : link.due(now)) {
            const bool feed = call.kind == instance::store_call::purpose::list ||
                              call.kind == instance::store_call::purpose::watch;
            const std::string valid =
                feed ? R"({"items":[],"store_revision":530})" : R"({"lease":4,"revision":9})";
            const std::string& base = feed ? valid_page : valid;
            link.on_answer(now, call, answered(odd ? random.mutated(base) : valid));
        }
    };
    for (int i = 0; i < rounds / 20; ++i) {
        for (std::size_t j = random.below(10); j > 0; --j) {
            answer(true);
        }
        for (int j = 0; j < 8; ++j) {
            answer(false);
        }
        BOOST_REQUIRE(link.watches(now));
        BOOST_REQUIRE(link.lease().has_value() && *link.lease() != 0);
        items.take_skipped();
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
