#pragma once

#include <string>

#include "common/common.h"
#include "dispatch/types.h"

namespace poplarshed::entry {

/// An HTTP answer.
struct http_answer {
    int status = 200;
    std::string body;  ///< JSON
};

/// Answer of a job. A result that is not UTF-8 text becomes {"base64": "..."}.
http_answer to_answer(const submission_id& submission, const dispatch::job_outcome& outcome);
/// Answer of a request that is not tied to a job.
http_answer to_answer(const refusal& cause);

}  // namespace poplarshed::entry
