#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "common/common.h"
#include "dispatch/types.h"

namespace poplarshed::upstream {

/// Bounds of the client.
struct client_options {
    std::size_t connections_per_runner = 10;  ///< of the about 60 that a runner accepts from all instances
    std::size_t queue_capacity = 65'536;      ///< commands that wait for the client's thread
    std::size_t max_response_bytes =
        std::size_t{4} * 1024 * 1024;  ///< a longer answer counts as a failure of the runner
    milliseconds connect_timeout{250};
};

/// Sends attempts to runners over HTTP and computes the verdict of each from the bytes that were written.
/// Runs one thread of its own.
class client {
public:
    /// Called on the client's thread, once for each started attempt.
    using result_handler = std::function<void(dispatch::attempt_result)>;

    client(client_options options, result_handler on_result);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    /// Ends the thread. Attempts in flight get no result.
    ~client();

    /// Queues an attempt. Any thread.
    /// @returns false if the queue is full; the attempt was not sent
    bool start(dispatch::start_attempt attempt);
    /// Gives up an attempt: its connection is closed and its result is `abandoned`. Any thread.
    /// @returns false if the queue is full; the attempt then goes on until its answer or timeout
    bool abandon(dispatch::abandon_attempt attempt);

private:
    class loop;
    std::unique_ptr<loop> m_loop;
};

}  // namespace poplarshed::upstream
