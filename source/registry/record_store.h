#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "registry/messages.h"

namespace poplarshed::registry {

/// Claim record in memory. Owners are stored as numbers of an instance_table, to keep 300,000 records and
/// more within a few tens of megabytes.
struct record {
    static constexpr std::uint16_t no_owner = 65'535;

    digest id;
    digest body;
    std::uint64_t sequence : 48 = 0;
    std::uint64_t owner : 16 = 0;
    std::uint64_t replaced : 16 = no_owner;  ///< failed owner whose claim this one replaced
    std::uint64_t epoch : 20 = 0;            ///< view epoch in which this registrar recorded it
    std::uint64_t recorded : 28 = 0;         ///< time in ticks, see ticks_of()
};
static_assert(sizeof(record) == 48);

/// Unit of record::recorded.
inline constexpr milliseconds tick{100};

/// Steady-clock time in ticks, truncated to the 28 bits of record::recorded. It wraps around after 310 days,
/// so only differences are meaningful.
inline constexpr std::uint32_t tick_mask = (1U << 28U) - 1;
inline std::uint32_t ticks_of(time_point now)
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / tick) & tick_mask;
}

/// Ticks since the claim was recorded.
inline std::uint32_t ticks_since(const record& held, time_point now)
{
    return (ticks_of(now) - static_cast<std::uint32_t>(held.recorded)) & tick_mask;
}

/// Hash table from id digest to record. Records are stored in blocks, so that growth copies only the 4-byte
/// index entries. Pointers to a record stay valid until it is erased.
class record_store {
public:
    record* find(const digest& id);
    const record* find(const digest& id) const;
    /// Adds a record. Its id must not be present.
    record& insert(const record& added);
    /// Removes the record; returns false if there was none.
    bool erase(const digest& id);
    void clear();

    std::size_t size() const { return m_size; }
    /// Memory in bytes of records, free slots and the index.
    std::size_t bytes() const;

    /// Calls `visit(record&)` for every record and erases those for which it returns true.
    template <class Visit>
    void erase_if(Visit visit)
    {
        for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
            visit_slot(slot, visit);
        }
    }

    /// Like erase_if, but visits only the next `count` slots and continues there on the next call, wrapping
    /// at the end; this bounds the time of one call.
    template <class Visit>
    void sweep(std::size_t count, Visit visit)
    {
        count = std::min(count, m_slots.size());
        for (std::size_t i = 0; i < count; ++i) {
            m_cursor = m_cursor + 1 < m_slots.size() ? m_cursor + 1 : 0;
            visit_slot(m_cursor, visit);
        }
    }

private:
    static constexpr std::uint32_t empty = 0xffff'ffff;

    template <class Visit>
    void visit_slot(std::size_t slot, Visit& visit)
    {
        if (m_used[slot] && visit(m_slots[slot])) {
            erase(digest(m_slots[slot].id));
        }
    }

    std::size_t position_of(const digest& id) const;
    void grow();

    std::deque<record> m_slots;
    std::vector<bool> m_used;
    std::vector<std::uint32_t> m_free;
    std::vector<std::uint32_t> m_index;  ///< open addressing with linear probing; size is a power of two
    std::size_t m_size = 0;
    std::size_t m_cursor = 0;
};

}  // namespace poplarshed::registry
