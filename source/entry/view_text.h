#pragma once

#include <string>
#include <string_view>

#include "membership/membership.h"
#include "platform/platform.h"

namespace poplarshed::entry {

/// Platform key of a data centre's view.
std::string view_key(const data_centre_id& home);
/// Platform key, bound to the lease of an instance, that shows it as live.
std::string live_key(const data_centre_id& home, const endpoint& address);

/// JSON text of a view, the value of its platform key.
std::string to_text(const membership::view& view);
/// @returns an error for a text that is no view
result<membership::view> parse_view(std::string_view text);

/// Reads the entries below `membership/`. Entries that are neither a view nor a live instance are skipped.
membership::platform_snapshot parse_snapshot(const std::vector<platform::entry>& entries);

}  // namespace poplarshed::entry
