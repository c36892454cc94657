#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/common.h"

namespace poplarshed::load {

/// One HTTP request.
struct http_request {
    std::string method = "POST";
    std::string url;
    std::vector<std::string> headers;
    std::string body;
};

/// An answer, or a transport error if the status is 0.
struct http_answer {
    long status = 0;
    std::string body;
    std::string error;
};

/// Many HTTP requests at once over kept connections. Not thread-safe.
class http_client {
public:
    using handler = std::function<void(http_answer)>;

    http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /// Starts a request; `on_done` runs within a later run_until().
    void start(http_request request, handler on_done);
    /// Moves data and calls handlers until `due`, or once after any activity.
    void run_until(time_point due);
    /// Requests without an answer.
    std::size_t active() const { return m_active.size(); }
    /// Sends one request and waits for its answer.
    http_answer call(http_request request);

private:
    struct transfer;

    void finish_done();

    CURLM* m_multi;
    int m_timer;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> m_active;
    std::vector<CURL*> m_idle;
};

}  // namespace poplarshed::load
