#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace poplarshed {

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time since the machine was started, suspended time included. The steady clock of a suspended machine
/// stands still, so intervals that other machines rely on are measured with this one. Not comparable with
/// steady_clock::now().
time_point boot_time_now();
/// The reading of the steady clock at which boot_time_now() returns `at`, unless the machine is suspended
/// before; for waits.
time_point steady_time_of(time_point at);

/// Time of day, for numbers that must grow from one life of a process to the next.
std::uint64_t wall_microseconds();

/// Calls subscribers when their time has come. The owner passes the time in, so that tests need no sleeping.
/// Not thread-safe; every call belongs to the thread that calls run().
class timer_service {
public:
    using callback = std::function<void(time_point now)>;
    enum class subscription : std::uint64_t {};

    /// Calls back once at `due`, or at the next run() if that has passed.
    subscription at(time_point due, callback action);
    /// Calls back each `period`, first at `first`. A late run() calls once and skips the missed periods.
    subscription every(duration period, time_point first, callback action);
    /// Ends a subscription; does nothing if it has ended.
    void cancel(subscription id);

    /// Runs every callback due at `now`, in order of due time.
    void run(time_point now);
    /// Time of the next callback; time_point::max() without subscriptions.
    time_point next() const;

private:
    struct entry {
        time_point due;
        duration period{};
        callback action;
    };

    subscription add(entry item);

    std::uint64_t m_last = 0;
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::multimap<time_point, std::uint64_t> m_queue;
};

}  // namespace poplarshed
