#include "instance/decision_log.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "json/json.h"

namespace poplarshed::instance::test {

namespace {

constexpr std::size_t flood = 5000;

// A log that writes to a file of its own.
class logged {
public:
    ~logged() { std::filesystem::remove(m_path); }

    /// Fills the log, waits until all is written, and counts the lines of each message.
    std::map<std::string, std::size_t> write(const std::function<void(decision_log&)>& fill)
    {
        {
            decision_log log({severity::info, m_path, "front-1", "ollur"}, true);
            fill(log);
            m_dropped = log.take_dropped();
        }
        std::map<std::string, std::size_t> found;
        std::ifstream file(m_path);
        std::string line;
        while (std::getline(file, line)) {
            const auto read = json::parse(line, m_path, {});
            BOOST_REQUIRE(read.has_value());
            ++found[read.value().at("message").get<std::string>()];
        }
        return found;
    }

    std::uint64_t dropped() const { return m_dropped; }

private:
    std::string m_path = std::filesystem::temp_directory_path() /
                         ("poplarshed-log-" + std::to_string(wall_microseconds()) + ".json");
    std::uint64_t m_dropped = 0;
};

log_line line_of(const std::string& message)
{
    return {severity::info, telemetry::category::dispatch, message, "00000000000000aa", {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(decision_lines)

// Guards against a log that costs more than the requests it tells of, and against silence about it.
BOOST_AUTO_TEST_CASE(routine_lines_beyond_the_rate_are_dropped_and_counted)
{
    logged out;
    const time_point now = steady_clock::now();
    const auto found = out.write([now](decision_log& log) {
        for (std::size_t count = 0; count < flood; ++count) {
            log.decision(now, line_of("started"));
        }
    });
    BOOST_TEST(found.at("started") + out.dropped() == flood);
    BOOST_TEST(out.dropped() > 0U);
}

// Guards against a failed request that nobody can explain because it failed in a busy second.
BOOST_AUTO_TEST_CASE(lines_of_failures_are_kept_where_routine_lines_are_dropped)
{
    logged out;
    const time_point now = steady_clock::now();
    const auto found = out.write([now](decision_log& log) {
        for (std::size_t count = 0; count < flood; ++count) {
            log.decision(now, line_of("started"));
        }
        log.decision(now, line_of("refused_too_late"), false);
        log.event(line_of("pool dropped"));
    });
    BOOST_TEST(found.at("refused_too_late") == 1U);
    BOOST_TEST(found.at("pool dropped") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
