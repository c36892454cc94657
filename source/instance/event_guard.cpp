#include "instance/event_guard.h"

#include <array>

namespace poplarshed::instance {

std::string_view name_of(const core_event& event)
{
    static constexpr std::array<std::string_view, std::variant_size_v<core_event>> names{
        "request", "caller_left", "peer_message", "peer_down", "call_ended", "signal"};
    return names.at(event.index());
}

}  // namespace poplarshed::instance
