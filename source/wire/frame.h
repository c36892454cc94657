#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "common/common.h"
#include "wire/messages.h"

namespace poplarshed::wire {

/// Length field before each frame's content, little-endian; it does not count itself.
inline constexpr std::size_t length_bytes = 4;
/// Greatest content of a frame.
inline constexpr std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;

/// Why a frame was rejected. Each is counted.
enum class frame_error {
    oversize,         ///< longer than the limit
    too_short,        ///< too short for any envelope
    not_verified,     ///< rejected by the FlatBuffers verifier, or another file identifier
    unknown_message,  ///< a kind of message that this release does not know
    bad_value,        ///< a field is out of its range
};

inline constexpr std::size_t frame_error_count = 5;

std::string_view to_string(frame_error value);

/// Bytes of one frame, its length field included.
using frame = std::vector<std::uint8_t>;

/// Encodes a message with its length field. Any thread.
/// @returns oversize if the message does not fit a frame
result<frame, frame_error> encode(const message& value);

/// Verifies a frame with its length field and converts it. Any thread.
result<message, frame_error> decode(std::span<const std::uint8_t> bytes);

/// Splits a byte stream into frames. Not thread-safe.
class frame_decoder {
public:
    /// Receives a whole frame with its length field; the bytes are valid during the call.
    /// @returns false to stop reading
    using handler = std::function<bool(std::span<const std::uint8_t>)>;

    explicit frame_decoder(std::size_t limit = max_frame_bytes) : m_limit(limit) {}

    /// Changes the greatest content of later frames; a small limit holds until a peer has proven its key.
    void set_limit(std::size_t limit) { m_limit = limit; }

    /// Takes the next bytes of the stream and passes on each frame that they complete.
    /// @returns an error if the stream cannot be continued; later calls return the same error
    std::optional<frame_error> feed(std::span<const std::uint8_t> input, const handler& on_frame);

private:
    bool fill(std::span<const std::uint8_t>& input, std::size_t target);
    std::optional<frame_error> check_length();

    std::size_t m_limit;
    std::size_t m_length = 0;
    // The frame keeps its length field, because FlatBuffers aligns a size-prefixed buffer from there.
    frame m_frame;
    std::optional<frame_error> m_failed;
};

}  // namespace poplarshed::wire
