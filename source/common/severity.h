#pragma once

#include <array>
#include <string_view>

namespace poplarshed {

/// Severity of a log line, least severe first.
enum class severity { debug, info, warning, error };

/// Text of each severity in settings and logs, in declaration order.
inline constexpr std::array<std::string_view, 4> severity_names{"debug", "info", "warning", "error"};

constexpr std::string_view to_string(severity value)
{
    return severity_names[static_cast<std::size_t>(value)];
}

}  // namespace poplarshed
