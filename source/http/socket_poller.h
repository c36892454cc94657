#pragma once

#include <atomic>
#include <unordered_map>
#include <vector>

#include "common/common.h"

namespace poplarshed::http {

/// Waits for sockets and for wake-ups of other threads. All but wake() belongs to one thread.
class socket_poller {
public:
    struct ready_socket {
        int descriptor = -1;
        bool readable = false;
        bool writable = false;
        bool failed = false;
    };

    /// Throws std::system_error if the kernel has no descriptor left.
    socket_poller();
    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;
    ~socket_poller();

    /// Waits for these events of a socket from now on.
    void watch(int descriptor, bool read, bool write);
    /// Ends the wait for a socket. Does nothing for one that is not watched.
    void forget(int descriptor);
    /// Ends a wait, or the next one. Any thread.
    void wake();
    /// Waits until a socket is ready, wake() is called, or `limit` has passed; rounded up to milliseconds.
    void wait(duration limit, std::vector<ready_socket>& ready);

private:
    int m_epoll = -1;
    int m_wake_event = -1;
    std::atomic<bool> m_woken{false};
    std::unordered_map<int, std::uint32_t> m_watched;  ///< events by descriptor
};

}  // namespace poplarshed::http
