#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/common.h"
#include "common/random_source.h"

/// Several instances, their links, workers and store in virtual time, without I/O.
namespace poplarshed::instance::test {

/// Time, randomness and history of one schedule. The same seed gives the same schedule on every run.
class virtual_time {
public:
    explicit virtual_time(std::uint64_t seed) : m_random(seed) {}

    time_point now() const { return m_now; }
    /// Since the start of the schedule.
    milliseconds elapsed() const;
    void after(milliseconds delay, std::function<void()> call);
    /// Moves on by 1 ms and runs the calls that are due, in the order of their times.
    void step();

    std::uint64_t below(std::uint64_t bound) { return m_random.below(bound); }
    /// Uniform in [least, greatest].
    milliseconds between(milliseconds least, milliseconds greatest);
    bool chance(double share) { return m_random.unit() < share; }

    /// Adds to the history of a job; an empty name stands for what concerns every job.
    void note(const std::string& job, std::string text);
    /// What happened to a job, with the faults and changes of holders meanwhile.
    std::string history(const std::string& job) const;

private:
    struct entry {
        milliseconds at{};
        std::string job;
        std::string text;
    };

    random_source m_random;
    time_point m_now{seconds(1000)};
    std::multimap<time_point, std::function<void()>> m_calls;
    std::vector<entry> m_notes;
};

/// What poplarshed::wall_microseconds() returns from now on, in place of the time of day.
void set_wall_time(time_point virtual_now, milliseconds offset);

}  // namespace poplarshed::instance::test
