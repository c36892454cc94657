#include "registry/record_store.h"

namespace poplarshed::registry {

namespace {

constexpr std::size_t first_index_size = 64;

std::size_t home_position(const digest& id, std::size_t index_size)
{
    return id.prefix() & (index_size - 1);
}

}  // namespace

// Index position of the id or, if it is absent, of the empty entry that ends its probe sequence.
std::size_t record_store::position_of(const digest& id) const
{
    std::size_t position = home_position(id, m_index.size());
    while (m_index[position] != empty && m_slots[m_index[position]].id != id) {
        position = (position + 1) & (m_index.size() - 1);
    }
    return position;
}

record* record_store::find(const digest& id)
{
    if (m_index.empty()) {
        return nullptr;
    }
    const std::uint32_t slot = m_index[position_of(id)];
    return slot == empty ? nullptr : &m_slots[slot];
}

const record* record_store::find(const digest& id) const
{
    return const_cast<record_store*>(this)->find(id);
}

record& record_store::insert(const record& added)
{
    if ((m_size + 1) * 4 > m_index.size() * 3) {
        grow();
    }
    std::uint32_t slot = 0;
    if (m_free.empty()) {
        slot = static_cast<std::uint32_t>(m_slots.size());
        m_slots.push_back(added);
        m_used.push_back(true);
    } else {
        slot = m_free.back();
        m_free.pop_back();
        m_slots[slot] = added;
        m_used[slot] = true;
    }
    m_index[position_of(added.id)] = slot;
    ++m_size;
    return m_slots[slot];
}

bool record_store::erase(const digest& id)
{
    if (m_index.empty()) {
        return false;
    }
    std::size_t hole = position_of(id);
    if (m_index[hole] == empty) {
        return false;
    }
    m_used[m_index[hole]] = false;
    m_free.push_back(m_index[hole]);
    --m_size;
    // Moves later entries of the probe sequence into the hole if a lookup would stop at the hole before them.
    const std::size_t mask = m_index.size() - 1;
    for (std::size_t next = (hole + 1) & mask; m_index[next] != empty; next = (next + 1) & mask) {
        const std::size_t wanted = home_position(m_slots[m_index[next]].id, m_index.size());
        if (((next - wanted) & mask) >= ((next - hole) & mask)) {
            m_index[hole] = m_index[next];
            hole = next;
        }
    }
    m_index[hole] = empty;
    return true;
}

void record_store::clear()
{
    *this = record_store();
}

void record_store::grow()
{
    const std::size_t size = m_index.empty() ? first_index_size : m_index.size() * 2;
    m_index.assign(size, empty);
    for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
        if (m_used[slot]) {
            m_index[position_of(m_slots[slot].id)] = static_cast<std::uint32_t>(slot);
        }
    }
}

std::size_t record_store::bytes() const
{
    return m_slots.size() * sizeof(record) + m_used.capacity() / 8 +
           (m_free.capacity() + m_index.capacity()) * sizeof(std::uint32_t);
}

}  // namespace poplarshed::registry
