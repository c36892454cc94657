#include "json/json.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace poplarshed;

namespace {

std::string fault_of(const std::string& text, const json::limits& bounds = {})
{
    const auto parsed = json::parse(text, "input", bounds);
    return parsed ? "" : parsed.error().message;
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bounded_reading)

// Guards against a fault that an operator cannot find in the file.
BOOST_AUTO_TEST_CASE(a_syntax_error_names_file_and_line)
{
    BOOST_TEST(has(fault_of("{\n\"a\": }"), "input: parse error at line 2"));
}

// Guards against two readers that take different ones of two equal keys.
BOOST_AUTO_TEST_CASE(a_repeated_key_is_an_error_with_its_path)
{
    BOOST_TEST(fault_of(R"({"a":{"b":1,"b":2}})") == "input: key 'a.b' occurs twice");
    BOOST_TEST(fault_of(R"([{"b":1},{"b":2}])").empty());
}

// Guards against exhausting the stack or the memory with a small or a large input.
BOOST_AUTO_TEST_CASE(depth_and_size_are_bounded)
{
    BOOST_TEST(fault_of("[[[[]]]]", {.max_depth = 3}) == "input: nested deeper than 3 levels");
    BOOST_TEST(fault_of("[[[]]]", {.max_depth = 3}).empty());
    BOOST_TEST(fault_of(std::string(200'000, '[')) == "input: nested deeper than 16 levels");
    BOOST_TEST(fault_of("[1,2]", {.max_bytes = 4}) == "input: 5 bytes, at most 4 allowed");
}

// Guards against a document of many short values, whose tree takes a hundred times its text.
BOOST_AUTO_TEST_CASE(values_are_counted_before_a_tree_is_built)
{
    BOOST_TEST(fault_of("[1,2,3]", {.max_fields = 3}) == "input: more than 3 fields");
    BOOST_TEST(fault_of("[1,2,3]", {.max_fields = 4}).empty());
    BOOST_TEST(fault_of(R"({"a":{"b":1},"c":[]})", {.max_fields = 3}) == "input: more than 3 fields");
    BOOST_TEST(fault_of(R"({"a":{"b":1},"c":[]})", {.max_fields = 4}).empty());
    BOOST_TEST(has(fault_of("[1,2,3,4,]", {.max_fields = 5}), "parse error"));
}

BOOST_AUTO_TEST_CASE(comments_are_read_only_where_allowed)
{
    BOOST_TEST(!fault_of("[/* c */]").empty());
    BOOST_TEST(fault_of("[/* c */]", {.comments = json::comments::ignored}).empty());
}

BOOST_AUTO_TEST_CASE(a_suggestion_is_near_or_absent)
{
    const std::array<std::string, 2> words{"threads", "listen"};
    BOOST_TEST(json::suggestion("thraeds", words) == "; did you mean 'threads'?");
    BOOST_TEST(json::suggestion("porridge", words).empty());
}

BOOST_AUTO_TEST_SUITE_END()
