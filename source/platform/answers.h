#pragma once

#include "platform/http_session.h"
#include "platform/platform.h"

namespace poplarshed::platform {

/// Reads the reply of a GET of one key.
read_outcome to_read_outcome(const std::string& key, const http_reply& reply);
/// Reads the reply of a GET of a prefix.
read_outcome to_prefix_outcome(const http_reply& reply);
/// Reads the reply of a conditional write or deletion.
write_outcome to_write_outcome(const std::string& key, const http_reply& reply);
/// Reads the reply of a call about a lease. @param known the lease of the call; empty for a new one
lease_outcome to_lease_outcome(std::optional<lease_id> known, const http_reply& reply);
instances_outcome to_instances_outcome(const http_reply& reply);

}  // namespace poplarshed::platform
