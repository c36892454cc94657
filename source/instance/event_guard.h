#pragma once

#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "instance/events.h"

namespace poplarshed::instance {

/// Name of an event in logs and metrics.
std::string_view name_of(const core_event& event);

/// Runs the handler of one event. An unexpected error costs this event and not the process: its callers would
/// lose their jobs, and the same message could end the next instance.
/// @returns the text of the exception that the handler has thrown, if any
template <class Handler>
std::optional<std::string> failure_of(Handler&& handler)
{
    try {
        std::forward<Handler>(handler)();
        return std::nullopt;
    } catch (const std::exception& failed) {
        return failed.what();
    }
}

}  // namespace poplarshed::instance
