#include "wire/frame.h"

#include <algorithm>
#include <array>

namespace poplarshed::wire {

namespace {

// Root offset and file identifier.
constexpr std::size_t min_frame_bytes = 8;
// A frame grows with the bytes that arrived, so that a length field alone cannot claim memory.
constexpr std::size_t max_reserve_bytes = std::size_t{64} * 1024;

}  // namespace

std::string_view to_string(frame_error value)
{
    static constexpr std::array<std::string_view, frame_error_count> names{
        "oversize", "too_short", "not_verified", "unknown_message", "bad_value"};
    return names.at(static_cast<std::size_t>(value));
}

bool frame_decoder::fill(std::span<const std::uint8_t>& input, std::size_t target)
{
    const std::size_t count = std::min(target - m_frame.size(), input.size());
    m_frame.insert(m_frame.end(), input.begin(), input.begin() + static_cast<std::ptrdiff_t>(count));
    input = input.subspan(count);
    return m_frame.size() == target;
}

std::optional<frame_error> frame_decoder::check_length()
{
    m_length = 0;
    for (std::size_t i = length_bytes; i > 0; --i) {
        m_length = (m_length << 8U) | m_frame[i - 1];
    }
    if (m_length > m_limit) {
        return frame_error::oversize;
    }
    if (m_length < min_frame_bytes) {
        return frame_error::too_short;
    }
    m_frame.reserve(length_bytes + std::min(m_length, max_reserve_bytes));
    return std::nullopt;
}

std::optional<frame_error> frame_decoder::feed(std::span<const std::uint8_t> input, const handler& on_frame)
{
    while (!m_failed && !input.empty()) {
        if (m_frame.size() < length_bytes) {
            if (!fill(input, length_bytes)) {
                break;
            }
            m_failed = check_length();
            continue;
        }
        if (!fill(input, length_bytes + m_length)) {
            break;
        }
        const frame complete = std::exchange(m_frame, {});
        if (!on_frame(complete)) {
            break;
        }
    }
    return m_failed;
}

}  // namespace poplarshed::wire
