#include <boost/test/unit_test.hpp>

#include "instance/guarded_protocol.h"
#include "instance/store_link.h"
#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

using instance::directory;
using instance::store_item;

const platform_protocol codec;
// The greatest revision of which a fencing token can be made.
constexpr std::uint64_t greatest_revision = (std::uint64_t{1} << 47U) - 1;

std::string entry(const std::string& field, const std::string& text)
{
    std::map<std::string, std::string> fields{{"service", "\"s\""},          {"address", "\"10.0.1.1:1\""},
                                              {"zone", "\"ollur\""},         {"state", "\"ready\""},
                                              {"capacity", R"({"cpu":32})"}, {"born", "9"}};
    fields[field] = text;
    std::string out;
    for (const auto& [name, one] : fields) {
        out.append(out.empty() ? "{\"" : ",\"").append(name).append("\":").append(one);
    }
    return out + "}";
}

store_item worker(const std::string& id, std::uint64_t revision, const std::string& value = entry("seq", "1"))
{
    return {codec.workers_prefix() + id, value, revision, false};
}

store_item own(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {codec.own_prefix() + key, value, revision, false};
}

/// Decoders that fail in a way that nobody has thought of.
struct failing_protocol : platform_protocol {
    result<workers::worker_entry, instance::input_error> decode_worker(
        const std::string& key, const std::string& value) const override
    {
        return key.ends_with("odd") ? throw std::out_of_range("odd")
                                    : platform_protocol::decode_worker(key, value);
    }
    result<routing::configuration, instance::input_error> decode_configuration(
        const std::string&) const override
    {
        throw std::length_error("odd");
    }
    result<instance::store_page, instance::store_status> decode_items(const http::response&) const override
    {
        throw std::bad_alloc();
    }
    instance::store_answer decode_answer(const http::response&) const override { throw std::bad_alloc(); }
    workers::start_reply decode_start(const workers::start_command&, const http::response&) const override
    {
        throw std::bad_alloc();
    }
    workers::stop_reply decode_stop(const workers::stop_command&, const http::response&) const override
    {
        throw std::bad_alloc();
    }
    result<instance::decoded_listing, workers::list_failure> decode_list(const workers::list_command&,
                                                                         const http::response&) const override
    {
        throw std::bad_alloc();
    }
    instance::caller_call decode_call(const instance::caller_request&, const routing::route&) const override
    {
        throw std::bad_alloc();
    }
};

struct fixture {
    time_point now{seconds(1000)};
    directory items{codec, "front-1", 1000};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

BOOST_AUTO_TEST_SUITE(of_workers)

// Guards against an entry of another writer that names a worker with which nothing can be done, or whose
// text goes into requests.
BOOST_AUTO_TEST_CASE(they_name_no_worker)
{
    BOOST_REQUIRE(codec.decode_worker("servers/i-1", entry("seq", "1")).has_value());
    const std::string deep(100'000, '[');
    const std::vector<std::pair<std::string, std::string>> odd{
        {"address", "\"10.0.1.1\""},
        {"address", "\"10.0.1.1:0\""},
        {"address", "\"10.0.1.1:65536\""},
        {"address", "\"10.0.1.1:-1\""},
        {"address", "\"10.0.1.1: 1\""},
        {"address", "\"10.0.1.1:1/x\""},
        {"address", "\"a@10.0.1.1:1\""},
        {"address", "\"10.0.1.1:1\\n\""},
        {"address", "\"host:1\""},
        {"address", "\"::1:1\""},
        {"address", "\":1\""},
        {"address", "\"10.0.1.1:\""},
        {"address", "\"10.0.1.1:01\""},
        {"address", "\"0.0.0.0:1\""},
        {"address", "\"[fe80::1%lo]:1\""},
        {"address", "1"},
        {"zone", "\"\""},
        {"zone", "\"a/b\""},
        {"zone", "\"a\\u0000b\""},
        {"service", "\"\""},
        {"service", "\"a b\""},
        {"service", "\"a/b\""},
        {"service", "\"" + std::string(300, 's') + "\""},
        {"service", "null"},
        {"state", "\"Ready\""},
        {"state", "[]"},
        {"capacity", "{}"},
        {"capacity", "{\"cpu\":0}"},
        {"capacity", "{\"cpu\":-1}"},
        {"capacity", "{\"cpu\":9000000000000000}"},
        {"capacity", "{\"cpu\":1e400}"},
        {"capacity", "{\"cpu\":1,\"mem_mb\":\"1\"}"},
        {"capacity", "[]"},
        {"capacity", "{\"cpu\":1,\"gpu\":1e18}"},
        {"born", "-1"},
        {"born", "1e17"},
        {"born", "1.5"},
        {"born", "\"9\""},
        {"labels", "\"a\""},
        {"x", deep + std::string(deep.size(), ']')},
        {"x", deep},
        {"x", "NaN"}};
    for (const auto& [field, text] : odd) {
        BOOST_TEST(!codec.decode_worker("servers/i-1", entry(field, text)).has_value(),
                   field + " " + text.substr(0, 40));
    }
    for (const char* key :
         {"servers/", "serv", "", "servers/a b", "servers/a\r\nX-Other: 1", "servers/a/b"}) {
        BOOST_TEST(!codec.decode_worker(key, entry("seq", "1")).has_value(), key);
    }
}

// Guards against labels without number that are kept for each worker.
BOOST_AUTO_TEST_CASE(labels_are_bounded)
{
    const auto few = codec.decode_worker("servers/i-1", entry("labels", R"(["a",1,{},"b"])"));
    BOOST_REQUIRE(few.has_value());
    BOOST_TEST(few.value().labels.size() == 2U);
    std::string many = "[\"a\"";
    for (int i = 0; i < 5000; ++i) {
        many += ",\"a\"";
    }
    BOOST_TEST(!codec.decode_worker("servers/i-1", entry("labels", many + "]")).has_value());
}

// Guards against one entry that hides the others, and against a line for each heartbeat of its writer.
BOOST_AUTO_TEST_CASE(each_fault_of_an_entry_is_reported_once)
{
    fixture f;
    f.items.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5), worker("i-2", 6, "{")});
    BOOST_TEST(f.items.workers().size() == 1U);
    BOOST_TEST(f.items.take_skipped().size() == 1U);
    for (std::uint64_t revision = 7; revision < 20; ++revision) {
        f.items.on_events(f.now, {worker("i-2", revision, "{ \"seq\":" + std::to_string(revision))});
    }
    BOOST_TEST(f.items.take_skipped().empty());
    f.items.on_events(f.now, {worker("i-2", 21, entry("address", "\"10.0.1.1:0\""))});
    BOOST_TEST(f.items.take_skipped().size() == 1U);
    f.items.on_events(f.now, {worker("i-2", 22)});
    BOOST_TEST(f.items.workers().size() == 2U);
    f.items.on_events(f.now, {worker("i-2", 23, entry("address", "\"10.0.1.1:0\""))});
    BOOST_TEST(f.items.take_skipped().size() == 1U);
}

// Guards against a second start of a task that runs on a worker whose entry was overwritten.
BOOST_AUTO_TEST_CASE(the_directory_is_incomplete_after_an_entry_was_overwritten)
{
    fixture f;
    f.items.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5)});
    f.now += seconds(40);
    BOOST_TEST(f.items.complete(f.now));
    f.items.on_events(f.now, {worker("i-1", 6, "{}")});
    BOOST_TEST(!f.items.complete(f.now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_odd_revision)

// Guards against a true entry that is taken for an older one, and against a directory that trusts no peer any
// more, since none knows as high a revision.
BOOST_AUTO_TEST_CASE(they_change_nothing)
{
    fixture f;
    f.items.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5), worker("i-2", 6)});
    f.items.take_skipped();
    for (const std::uint64_t odd : {std::uint64_t{0}, greatest_revision + 1, ~std::uint64_t{0}}) {
        f.items.on_events(f.now, {worker("i-1", odd, "{}")});
        f.items.on_events(f.now, {{codec.workers_prefix() + "i-2", {}, odd, true}});
        f.items.on_events(f.now, {{codec.configuration_key(), "{}", odd, false}});
    }
    BOOST_TEST(f.items.revision() == 6U);
    BOOST_TEST(f.items.workers().size() == 2U);
    BOOST_TEST(f.items.configuration_value().empty());
    f.items.on_events(f.now, {worker("i-1", 7, entry("state", "\"draining\""))});
    BOOST_TEST(f.items.workers().at(0).draining);
}

// Guards against a list of which one odd item counts as absent, so that its record is dropped.
BOOST_AUTO_TEST_CASE(they_are_no_absent_items)
{
    fixture f;
    const std::string value = R"({"address":"10.0.0.1:1","data_centre":"ollur"})";
    f.items.on_list(f.now, codec.own_prefix(), {own("instances/front-2", value, 5)});
    f.items.on_list(f.now, codec.own_prefix(), {own("instances/front-2", value, 0)});
    BOOST_TEST(f.items.own().instances().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_instances)

// Guards against one odd record that ends the links to all instances.
BOOST_AUTO_TEST_CASE(a_record_without_a_usable_address_names_no_instance)
{
    fixture f;
    std::vector<store_item> records{
        own("instances/front-2", R"({"address":"10.0.0.2:1","data_centre":"ollur"})", 5)};
    for (const char* odd :
         {"", "[", "[]", "{}", R"({"address":1})", R"({"address":"x"})", R"({"address":"x:1"})",
          R"({"address":"10.0.0.3:0"})", R"({"address":"10.0.0.3:99999"})", "\xff\xfe"}) {
        records.push_back(own("instances/odd-" + std::to_string(records.size()), odd, 5));
    }
    f.items.on_list(f.now, codec.own_prefix(), records);
    BOOST_REQUIRE_EQUAL(f.items.own().instances().size(), 1U);
    BOOST_TEST(f.items.own().instances()[0].value() == "10.0.0.2:1");
    BOOST_TEST(f.items.take_skipped().size() == records.size() - 1);
}

// Guards against items under other keys, which a peer can pass on, and which would be kept for good.
BOOST_AUTO_TEST_CASE(keys_of_no_known_kind_are_not_kept)
{
    fixture f;
    workers::directory_push push;
    const std::vector<std::string> odd{"",
                                       "x",
                                       "other/i-1",
                                       codec.workers_prefix() + std::string(500, 'x'),
                                       codec.workers_prefix() + "a\nb",
                                       codec.own_prefix() + "instances/\x01"};
    for (const std::string& key : odd) {
        push.items.push_back({key, 5, entry("seq", "1")});
    }
    f.items.on_relay(f.now, push);
    for (const std::string& key : odd) {
        BOOST_TEST(!f.items.contains(key), key);
    }
    BOOST_TEST(f.items.workers().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_layouts)

// Guards against a core thread that never ends to compute the pool of a worker, and against pools that move
// because a record was overwritten.
BOOST_AUTO_TEST_CASE(a_number_out_of_range_leaves_the_former_one)
{
    fixture f;
    f.items.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5)});
    f.items.on_list(f.now, codec.own_prefix(), {own("layouts/ollur/s", R"({"pools":2})", 6)});
    const auto before = routing::divide_into_pools(f.items.workers(), f.items.own().layout());
    BOOST_REQUIRE_EQUAL(before.size(), 1U);
    std::uint64_t revision = 7;
    for (const char* odd : {R"({"pools":18446744073709551615})", R"({"pools":4000000000})", R"({"pools":0})",
                            R"({"pools":-1})", R"({"pools":2.5})", "{}", "["}) {
        f.items.on_events(f.now, {own("layouts/ollur/s", odd, revision)});
        BOOST_TEST((routing::divide_into_pools(f.items.workers(), f.items.own().layout()) == before), odd);
        // It is written again, where it still has the odd value.
        const auto changes = routing::layout_changes(f.items.workers(), f.items.own().layout());
        BOOST_REQUIRE_EQUAL(changes.size(), 1U);
        BOOST_TEST(changes[0].pools == 2U);
        BOOST_TEST(changes[0].expected_revision == revision);
        ++revision;
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_configuration)

// Guards against a huge version number or an unreadable value that is reported at each of its writings.
BOOST_AUTO_TEST_CASE(the_rest_of_the_directory_goes_on)
{
    fixture f;
    f.items.on_events(f.now,
                      {{codec.configuration_key(), std::string(100'000, '['), 5, false}, worker("i-1", 6)});
    BOOST_TEST(f.items.workers().size() == 1U);
    BOOST_TEST(!codec.decode_configuration(f.items.configuration_value()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_decoder_throws)

// Guards against an exception that ends the core thread, and against a task that starts twice since the
// answer to its start could not be read.
BOOST_AUTO_TEST_CASE(the_input_counts_as_unreadable)
{
    const failing_protocol failing;
    const instance::guarded_protocol guarded(failing);
    directory items(guarded, "front-1", 1000);
    items.on_events(time_point{seconds(1000)}, {worker("odd", 5), worker("i-1", 6)});
    BOOST_TEST(items.workers().size() == 1U);
    const auto skipped = items.take_skipped();
    BOOST_REQUIRE_EQUAL(skipped.size(), 1U);
    BOOST_TEST((skipped[0].cause.reason == instance::input_fault::exception));
    BOOST_TEST(!guarded.decode_configuration("{}").has_value());
    BOOST_TEST((guarded.decode_items({}).error() == instance::store_status::failed));
    BOOST_TEST((guarded.decode_answer({}).status == instance::store_status::failed));
    BOOST_TEST((guarded.decode_start({}, {}).outcome == workers::start_outcome::unanswered));
    BOOST_TEST((guarded.decode_stop({}, {}).outcome == workers::stop_outcome::failed));
    BOOST_TEST((guarded.decode_list({}, {}).error() == workers::list_failure::refused));
    BOOST_TEST((guarded.decode_call({}, {}).kind == instance::call_kind::invalid));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
