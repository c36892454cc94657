#pragma once

#include <curl/curl.h>

#include <atomic>
#include <string>

#include "common/common.h"

namespace poplarshed::platform {

enum class http_method { get, put, post, erase };

struct http_call {
    http_method method = http_method::get;
    std::string url;
    std::string body;
    milliseconds connect_timeout{};
    milliseconds timeout{};
    std::size_t max_answer_bytes = 0;
};

struct http_reply {
    long status = 0;          ///< 0: no complete answer
    bool bytes_sent = false;  ///< any byte of the request was written
    std::string body;
    std::string error;
};

/// One connection to the platform, used by one thread; stop() may be called by any.
class http_session {
public:
    http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    ~http_session();

    /// Sends the request once, never again on another connection, and waits for the answer or for stop().
    http_reply perform(const http_call& call);
    /// Ends the present call and every later one at once until resume().
    void stop();
    void resume() { m_stopped = false; }
    bool stopped() const { return m_stopped; }

private:
    void prepare(const http_call& call);
    CURLcode run();

    CURLM* m_multi;
    CURL* m_handle;
    std::atomic<bool> m_stopped = false;
    http_reply m_reply;
    std::size_t m_max_answer_bytes = 0;

    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user);
    static int on_debug(CURL* handle, curl_infotype type, char* data, std::size_t size, void* user);
    static int before_request(void* user, char* remote_ip, char* local_ip, int remote_port, int local_port);
};

}  // namespace poplarshed::platform
