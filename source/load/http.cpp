#include "load/http.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>

namespace poplarshed::load {

namespace {

constexpr long max_kept_connections = 4096;
constexpr long connect_timeout_ms = 2000;
constexpr long request_timeout_ms = 120'000;
// Upper limit of one wait; the timer ends it earlier.
constexpr int poll_limit_ms = 1000;

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* body)
{
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
}

}  // namespace

struct http_client::transfer {
    http_request request;
    handler on_done;
    curl_slist* headers = nullptr;
    std::string body;
};

http_client::http_client()
    : m_multi(curl_multi_init()), m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, max_kept_connections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

http_client::~http_client()
{
    for (auto& [handle, state] : m_active) {
        curl_multi_remove_handle(m_multi, handle);
        curl_easy_cleanup(handle);
        curl_slist_free_all(state->headers);
    }
    for (CURL* handle : m_idle) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(m_multi);
    close(m_timer);
}

void http_client::start(http_request request, handler on_done)
{
    CURL* handle = nullptr;
    if (m_idle.empty()) {
        handle = curl_easy_init();
    } else {
        handle = m_idle.back();
        m_idle.pop_back();
    }
    auto state = std::make_unique<transfer>();
    state->request = std::move(request);
    state->on_done = std::move(on_done);
    // Without this line libcurl waits for a 100-continue before it sends a large body.
    state->headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : state->request.headers) {
        state->headers = curl_slist_append(state->headers, header.c_str());
    }
    const http_request& kept = state->request;
    curl_easy_setopt(handle, CURLOPT_URL, kept.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, state->headers);
    if (kept.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, kept.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(kept.body.size()));
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, kept.method.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, request_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state->body);
    m_active.emplace(handle, std::move(state));
    curl_multi_add_handle(m_multi, handle);
}

void http_client::finish_done()
{
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL* handle = message->easy_handle;
        const CURLcode code = message->data.result;
        const auto found = m_active.find(handle);
        const std::unique_ptr<transfer> state = std::move(found->second);
        m_active.erase(found);
        http_answer answer;
        if (code == CURLE_OK) {
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
            answer.body = std::move(state->body);
        } else {
            answer.error = curl_easy_strerror(code);
        }
        curl_multi_remove_handle(m_multi, handle);
        curl_easy_reset(handle);
        curl_slist_free_all(state->headers);
        m_idle.push_back(handle);
        state->on_done(std::move(answer));
    }
}

void http_client::run_until(time_point due)
{
    int running = 0;
    curl_multi_perform(m_multi, &running);
    finish_done();
    const auto left = std::chrono::duration_cast<std::chrono::nanoseconds>(due - steady_clock::now()).count();
    if (left <= 0) {
        return;
    }
    // curl_multi_poll waits in whole milliseconds, which is too coarse for tasks of 50 ms; the timer is
    // exact.
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    itimerspec spec{};
    spec.it_value.tv_sec = left / ns_per_s;
    spec.it_value.tv_nsec = left % ns_per_s;
    timerfd_settime(m_timer, 0, &spec, nullptr);
    curl_waitfd extra{m_timer, CURL_WAIT_POLLIN, 0};
    curl_multi_poll(m_multi, &extra, 1, poll_limit_ms, nullptr);
    curl_multi_perform(m_multi, &running);
    finish_done();
}

http_answer http_client::call(http_request request)
{
    bool done = false;
    http_answer answer;
    start(std::move(request), [&](http_answer received) {
        answer = std::move(received);
        done = true;
    });
    while (!done) {
        run_until(steady_clock::now() + milliseconds(poll_limit_ms));
    }
    return answer;
}

}  // namespace poplarshed::load
