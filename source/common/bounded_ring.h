#pragma once

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include "common/clock.h"

namespace poplarshed {

/// Bounded queue between threads. Any thread may push; one thread pops.
template <class T>
class bounded_ring {
public:
    /// @param capacity greatest number of waiting items
    /// @param wake called after each push and on close, for a consumer that waits elsewhere (an event loop)
    explicit bounded_ring(std::size_t capacity, std::function<void()> wake = {})
        : m_items(capacity), m_wake(std::move(wake))
    {}

    /// Adds an item without waiting. The item is moved from only on success.
    /// @returns false if the ring is full or closed
    bool try_push(T&& item)
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_closed || m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        notify();
        return true;
    }

    /// Adds an item, waiting for space. For producers whose items must not be lost.
    /// @returns false if the ring is closed
    bool push(T&& item)
    {
        {
            std::unique_lock lock(m_mutex);
            m_space.wait(lock, [this] { return m_closed || !m_items.full(); });
            if (m_closed) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        notify();
        return true;
    }

    /// Moves every waiting item into `out` (replacing its content); waits until `deadline` for the first one.
    void drain_until(time_point deadline, std::vector<T>& out)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_until(lock, deadline, [this] { return m_closed || !m_items.empty(); });
        take(out);
    }

    /// Moves every waiting item into `out` (replacing its content) without waiting.
    void drain(std::vector<T>& out)
    {
        const std::scoped_lock lock(m_mutex);
        take(out);
    }

    /// Makes every later push fail and wakes all waiting threads. Waiting items can still be drained.
    void close()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
        m_space.notify_all();
        if (m_wake) {
            m_wake();
        }
    }

    /// False once close() was called.
    bool is_open() const
    {
        const std::scoped_lock lock(m_mutex);
        return !m_closed;
    }

    std::size_t size() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_items.size();
    }

private:
    void take(std::vector<T>& out)
    {
        out.clear();
        out.reserve(m_items.size());
        while (!m_items.empty()) {
            out.push_back(std::move(m_items.front()));
            m_items.pop_front();
        }
        m_space.notify_all();
    }

    void notify()
    {
        m_ready.notify_one();
        if (m_wake) {
            m_wake();
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    std::condition_variable m_space;
    boost::circular_buffer<T> m_items;
    std::function<void()> m_wake;
    bool m_closed = false;
};

}  // namespace poplarshed
