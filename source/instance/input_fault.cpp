#include "instance/input_fault.h"

#include <array>

namespace poplarshed::instance {

namespace {

// Bounds the memory for subjects that never come again. Above the number of workers at the largest site,
// 3,000.
constexpr std::size_t max_subjects = 4096;

constexpr std::array<std::string_view, 9> fault_names{
    "unreadable", "missing_field", "number", "address", "name", "state", "key", "revision", "exception"};

}  // namespace

std::string_view to_string(input_fault value)
{
    return fault_names.at(static_cast<std::size_t>(value));
}

bool fault_journal::is_new(const std::string& subject, const input_error& found)
{
    const auto last = m_last.find(subject);
    if (last != m_last.end() && last->second == found) {
        return false;
    }
    if (last == m_last.end() && m_last.size() >= max_subjects) {
        m_last.clear();
    }
    m_last.insert_or_assign(subject, found);
    return true;
}

}  // namespace poplarshed::instance
