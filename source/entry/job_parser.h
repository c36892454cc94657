#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"
#include "dispatch/types.h"

namespace poplarshed::entry {

/// Bounds of a job body.
struct job_limits {
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_tasks = 1300;
    std::size_t max_depth = 8;  ///< nesting of the JSON text
};

/// Parses the body of `POST /v1/services/{service}/jobs`.
/// @returns the tasks (at least one), or a refusal: body_too_large, too_many_tasks, invalid_body
request_result<std::vector<dispatch::task_request>> parse_tasks(std::string_view body,
                                                                const job_limits& limits);

/// Checks a submission id of a caller: 1 to 128 bytes of [A-Za-z0-9._-].
/// @returns a refusal: missing_submission_id, invalid_submission_id
request_result<submission_id> parse_submission_id(std::string_view text);

}  // namespace poplarshed::entry
