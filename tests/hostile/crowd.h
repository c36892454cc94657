#pragma once

// Asio 1.74 uses std::exchange without including its header.
#include <utility>
//
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "hostile/requests.h"

namespace poplarshed::hostile::test {

/// What each member of a crowd does on its connection, which it then leaves open.
struct behaviour {
    shared_bytes bytes;                       ///< sent once
    std::size_t first_bytes = 0;              ///< bytes of the first write; 0: as of the others
    std::size_t piece_bytes = 0;              ///< bytes of one write; 0: all at once
    std::chrono::milliseconds pause{0};       ///< between two writes
    bool reads = true;                        ///< false: answers stay unread
    std::chrono::milliseconds read_pause{0};  ///< between two reads; other than 0: of one byte each
};

/// Clients that do not behave, each with one connection, on a thread of their own. A client whose connection
/// is closed by the instance does not come back.
class crowd {
public:
    /// Connects all members. @param address "ip:port"
    crowd(const std::string& address, std::size_t members, behaviour what);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Waits until each member has sent everything or lost its connection, until the instance takes nothing
    /// more, or until a bounded time of load has passed. Asserts nothing.
    void settle() const;
    /// Connections that the instance has not closed.
    std::size_t open() const { return m_open; }

private:
    class member;

    boost::asio::io_context m_io{1};
    behaviour m_what;
    std::atomic<std::size_t> m_open{0};
    std::atomic<std::size_t> m_unfinished;
    std::atomic<std::uint64_t> m_writes{0};
    std::vector<std::shared_ptr<member>> m_members;
    std::jthread m_thread;
};

}  // namespace poplarshed::hostile::test
