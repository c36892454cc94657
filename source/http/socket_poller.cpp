#include "http/socket_poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace poplarshed::http {

namespace {

constexpr std::size_t max_events = 64;

int require(int descriptor, const char* what)
{
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), what);
    }
    return descriptor;
}

void control(int poller, int operation, int descriptor, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    // A socket that was closed without a notice is no longer known to the kernel under its number.
    if (epoll_ctl(poller, operation, descriptor, &event) < 0 && errno == ENOENT &&
        operation == EPOLL_CTL_MOD) {
        epoll_ctl(poller, EPOLL_CTL_ADD, descriptor, &event);
    }
}

}  // namespace

socket_poller::socket_poller()
    : m_epoll(require(epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      m_wake_event(require(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK), "eventfd"))
{
    control(m_epoll, EPOLL_CTL_ADD, m_wake_event, EPOLLIN);
}

socket_poller::~socket_poller()
{
    close(m_wake_event);
    close(m_epoll);
}

void socket_poller::watch(int descriptor, bool read, bool write)
{
    const std::uint32_t events =
        (read ? std::uint32_t{EPOLLIN} : 0U) | (write ? std::uint32_t{EPOLLOUT} : 0U);
    const auto [watched, is_new] = m_watched.try_emplace(descriptor, events);
    if (!is_new && watched->second == events) {
        return;
    }
    watched->second = events;
    control(m_epoll, is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, descriptor, events);
}

void socket_poller::forget(int descriptor)
{
    if (m_watched.erase(descriptor) > 0) {
        control(m_epoll, EPOLL_CTL_DEL, descriptor, 0);
    }
}

void socket_poller::wake()
{
    if (!m_woken.exchange(true)) {
        const std::uint64_t one = 1;
        // Fails only when the counter is full, and then the poller wakes up anyway.
        [[maybe_unused]] const auto written = write(m_wake_event, &one, sizeof(one));
    }
}

void socket_poller::wait(duration limit, std::vector<ready_socket>& ready)
{
    ready.clear();
    std::array<epoll_event, max_events> events{};
    const auto limit_ms = std::chrono::ceil<milliseconds>(std::max(limit, duration::zero())).count();
    const int count = epoll_wait(m_epoll, events.data(), max_events, static_cast<int>(limit_ms));
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events.at(static_cast<std::size_t>(i));
        if (event.data.fd != m_wake_event) {
            ready.push_back({event.data.fd, (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0,
                             (event.events & (EPOLLERR | EPOLLHUP)) != 0});
            continue;
        }
        std::uint64_t wake_ups = 0;
        [[maybe_unused]] const auto size = read(m_wake_event, &wake_ups, sizeof(wake_ups));
        m_woken = false;
    }
}

}  // namespace poplarshed::http
