#pragma once

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

namespace poplarshed {

/// Hands the signals of a set to a callback, on a thread of its own, until it is destroyed. The set must be
/// blocked in every thread of the process, and contain SIGINT, which wakes the thread at its end.
class signal_thread {
public:
    /// @param on_signal called with the signal's number
    signal_thread(const sigset_t& signals, std::function<void(int)> on_signal);
    signal_thread(const signal_thread&) = delete;
    signal_thread& operator=(const signal_thread&) = delete;
    /// Returns without waiting for a signal.
    ~signal_thread();

private:
    void run();

    sigset_t m_signals;
    std::function<void(int)> m_on_signal;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

}  // namespace poplarshed
