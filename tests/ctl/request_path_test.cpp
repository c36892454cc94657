#include "ctl/request_path.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

using namespace poplarshed::ctl;

namespace {

const std::string job = "00000000000000aa";

std::string line_of(const std::string& time, const std::string& instance, const std::string& submission,
                    const std::string& message, const nlohmann::json& fields = nlohmann::json::object())
{
    nlohmann::json line{{"time", "2026-12-04T16:02:" + time + "Z"},
                        {"level", "info"},
                        {"instance", instance},
                        {"message", message},
                        {"fields", fields}};
    if (!submission.empty()) {
        line["submission"] = submission;
    }
    return line.dump();
}

/// Log files of two instances.
class logs {
public:
    logs() { std::filesystem::create_directories(m_folder); }
    ~logs() { std::filesystem::remove_all(m_folder); }
    logs(const logs&) = delete;
    logs& operator=(const logs&) = delete;

    void add(const std::string& name, const std::vector<std::string>& lines)
    {
        m_files.push_back(m_folder / name);
        std::ofstream file(m_files.back());
        for (const std::string& line : lines) {
            file << line << '\n';
        }
    }

    request_path find(const std::string& id) const
    {
        auto found = find_request(id, m_files);
        BOOST_REQUIRE(found.has_value());
        return found.value();
    }

private:
    std::filesystem::path m_folder =
        std::filesystem::temp_directory_path() / ("poplarshed-path-" + std::to_string(::getpid()));
    std::vector<std::string> m_files;
};

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// A job that front-1 takes and front-2 refuses when its time has run out.
void add_refused(logs& files)
{
    files.add(
        "front-1",
        {line_of("10.000", "front-1", job, "received", {{"request", "r-7"}}),
         line_of("10.001", "front-1", job, "offered", {{"holder", "10.0.0.2:1"}, {"detail", "ollur/desk/0"}}),
         line_of("10.090", "front-1", job, "answered",
                 {{"detail", "refused: deadline_unreachable"}, {"input_ms", 90}}),
         line_of("10.200", "front-1", "00000000000000bb", "received", {{"request", "r-8"}})});
    files.add("front-2", {line_of("10.088", "front-2", job, "refused_too_late",
                                  {{"pool", "ollur/desk/0"}, {"input_ms", 387}, {"limit_ms", 294}}),
                          line_of("10.002", "front-2", job, "admitted", {{"pool", "ollur/desk/0"}})});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(path_of_a_request)

BOOST_AUTO_TEST_SUITE(when_it_is_found)

// Guards against a path that follows the files and not the request.
BOOST_AUTO_TEST_CASE(its_lines_on_all_instances_stand_in_order_of_time)
{
    logs files;
    add_refused(files);
    const request_path path = files.find(job);
    std::vector<std::string> messages;
    for (const log_entry& line : path.own) {
        messages.push_back(line.message);
    }
    const std::vector<std::string> expected{"received", "offered", "admitted", "refused_too_late",
                                            "answered"};
    BOOST_TEST(messages == expected, boost::test_tools::per_element());
}

// Callers know only the id that they have sent.
BOOST_AUTO_TEST_CASE(the_id_of_the_caller_finds_the_same_lines)
{
    logs files;
    add_refused(files);
    BOOST_TEST(files.find("r-7").own.size() == 5U);
    BOOST_TEST(files.find("r-7").conclusion == files.find(job).conclusion);
}

BOOST_AUTO_TEST_CASE(names_that_a_collector_puts_before_a_line_are_skipped)
{
    const auto line = read_log_line("front-1 out | " + line_of("10.250", "front-1", job, "received"));
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->time.count() % 60'000 == 10'250);
    BOOST_TEST(line->submission == job);
}

// Guards against a broken line that hides the rest of a file.
BOOST_AUTO_TEST_CASE(lines_that_are_none_are_counted)
{
    logs files;
    files.add("front-1", {"{\"time\":", "plain text", line_of("10.000", "front-1", job, "received"),
                          R"({"time":"yesterday","message":"received","instance":"front-1"})", R"(["time"])",
                          R"({"time":7,"message":{},"fields":[]})"});
    const request_path path = files.find(job);
    BOOST_TEST(path.own.size() == 1U);
    BOOST_TEST(path.unreadable == 5U);
}

BOOST_AUTO_TEST_CASE(a_file_that_cannot_be_read_is_an_error)
{
    const auto found = find_request(job, {"no-such-file"});
    BOOST_REQUIRE(!found.has_value());
    BOOST_TEST((found.error().code == exit_code::usage));
    BOOST_TEST(has(found.error().message, "no-such-file"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_it_is_concluded)

BOOST_AUTO_TEST_CASE(a_refusal_names_the_decision_and_its_inputs)
{
    logs files;
    add_refused(files);
    const std::string text = files.find(job).conclusion;
    BOOST_TEST(has(text, "answered refused: deadline_unreachable after 90 ms by front-1"));
    BOOST_TEST(has(text, "refused_too_late of front-2"));
    BOOST_TEST(has(text, "387 ms"));
    BOOST_TEST(has(text, "294 ms"));
}

// Guards against a failed job whose operator cannot tell that it was given up, and for which task.
BOOST_AUTO_TEST_CASE(a_job_that_was_given_up_names_the_task)
{
    logs files;
    files.add("front-1", {line_of("10.000", "front-1", job, "received"),
                          line_of("10.080", "front-1", job, "task_given_up",
                                  {{"detail", "task 0.3: 2 workers crashed, 0 fell silent"}}),
                          line_of("10.081", "front-1", job, "answered",
                                  {{"detail", "failed: attempts_exhausted"}, {"input_ms", 81}})});
    const std::string text = files.find(job).conclusion;
    BOOST_TEST(has(text, "answered failed: attempts_exhausted after 81 ms"));
    BOOST_TEST(has(text, "task 0.3: 2 workers crashed"));
}

BOOST_AUTO_TEST_CASE(a_completed_job_has_no_cause)
{
    logs files;
    files.add(
        "front-1",
        {line_of("10.000", "front-1", job, "received"), line_of("10.010", "front-1", job, "start_failed"),
         line_of("10.400", "front-1", job, "answered", {{"detail", "completed"}, {"input_ms", 400}})});
    const std::string text = files.find(job).conclusion;
    BOOST_TEST(has(text, "answered completed after 400 ms"));
    BOOST_TEST(!has(text, "decided by"));
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_is_told_with_what_it_waited_for)
{
    logs files;
    files.add("front-1", {line_of("10.000", "front-1", job, "received"),
                          line_of("10.700", "front-1", job, "waits_for_lapse"),
                          line_of("11.500", "front-1", job, "caller_left", {{"input_ms", 1500}})});
    const std::string text = files.find(job).conclusion;
    BOOST_TEST(has(text, "closed its connection to front-1"));
    BOOST_TEST(has(text, "leases had to lapse"));
}

BOOST_AUTO_TEST_CASE(an_instance_that_was_killed_is_told_by_its_next_start)
{
    logs files;
    files.add("front-1",
              {line_of("10.000", "front-1", job, "received"), line_of("11.000", "front-1", "", "started")});
    BOOST_TEST(has(files.find(job).conclusion, "started at 2026-12-04T16:02:11.000Z without having stopped"));
}

BOOST_AUTO_TEST_CASE(a_request_without_a_route_is_told_with_the_configuration)
{
    logs files;
    files.add("front-1", {line_of("10.000", "front-1", job, "no route", {{"configuration", 4}})});
    const std::string text = files.find(job).conclusion;
    BOOST_TEST(has(text, "no route by front-1"));
    BOOST_TEST(has(text, "\"configuration\":4"));
}

BOOST_AUTO_TEST_CASE(an_unknown_id_is_said_to_be_unknown)
{
    logs files;
    add_refused(files);
    BOOST_TEST(has(files.find("00000000000000cc").conclusion, "no line names this request"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_process_changed_its_mind)

// Guards against a cause that is hidden among the lines of pools that had nothing to do with the request.
BOOST_AUTO_TEST_CASE(lines_of_the_same_instances_and_pools_are_shown)
{
    logs files;
    add_refused(files);
    files.add("front-2b",
              {line_of("09.000", "front-2", "", "peer is silent", {{"peer", "10.0.0.1:1"}}),
               line_of("09.500", "front-2", "", "pool claimed", {{"pool", "ollur/desk/0"}}),
               line_of("09.600", "front-2", "", "pool claimed", {{"pool", "ollur/desk/1"}}),
               line_of("01.000", "front-2", "", "ready"), line_of("10.050", "front-3", "", "draining")});
    const request_path path = files.find(job);
    BOOST_REQUIRE_EQUAL(path.around.size(), 2U);
    BOOST_TEST(path.around[0].message == "peer is silent");
    BOOST_TEST(path.around[1].message == "pool claimed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
