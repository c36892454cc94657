#include "platform/http_session.h"

#include <utility>

namespace poplarshed::platform {

namespace {

// stop() wakes the poll; the limit only bounds a missed wake-up.
constexpr int poll_limit_ms = 200;

const char* name_of(http_method method)
{
    switch (method) {
        case http_method::get:
            return "GET";
        case http_method::put:
            return "PUT";
        case http_method::post:
            return "POST";
        case http_method::erase:
            return "DELETE";
    }
    return "GET";
}

}  // namespace

http_session::http_session() : m_multi(curl_multi_init()), m_handle(curl_easy_init()) {}

http_session::~http_session()
{
    curl_easy_cleanup(m_handle);
    curl_multi_cleanup(m_multi);
}

void http_session::stop()
{
    m_stopped = true;
    curl_multi_wakeup(m_multi);
}

std::size_t http_session::on_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& self = *static_cast<http_session*>(user);
    const std::size_t length = size * count;
    if (self.m_reply.body.size() + length > self.m_max_answer_bytes) {
        return 0;
    }
    self.m_reply.body.append(data, length);
    return length;
}

int http_session::on_debug(CURL* /*handle*/, curl_infotype type, char* /*data*/, std::size_t size, void* user)
{
    const bool outgoing = type == CURLINFO_HEADER_OUT || type == CURLINFO_DATA_OUT;
    if (outgoing && size > 0) {
        static_cast<http_session*>(user)->m_reply.bytes_sent = true;
    }
    return 0;
}

// libcurl sends a request again by itself when a reused connection ends without an answer. A write could take
// effect twice that way, and the second answer would be a conflict with this client's own value.
int http_session::before_request(void* user, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
                                 int /*local_port*/)
{
    return static_cast<http_session*>(user)->m_reply.bytes_sent ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void http_session::prepare(const http_call& call)
{
    curl_easy_reset(m_handle);
    curl_easy_setopt(m_handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, name_of(call.method));
    if (call.method == http_method::put || call.method == http_method::post) {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    }
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(m_handle, CURLOPT_DEBUGFUNCTION, on_debug);
    curl_easy_setopt(m_handle, CURLOPT_DEBUGDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
}

CURLcode http_session::run()
{
    int running = 1;
    while (!m_stopped) {
        curl_multi_perform(m_multi, &running);
        if (running == 0) {
            break;
        }
        curl_multi_poll(m_multi, nullptr, 0, poll_limit_ms, nullptr);
    }
    int remaining = 0;
    const CURLMsg* message = curl_multi_info_read(m_multi, &remaining);
    return message != nullptr ? message->data.result : CURLE_ABORTED_BY_CALLBACK;
}

http_reply http_session::perform(const http_call& call)
{
    m_reply = {};
    m_max_answer_bytes = call.max_answer_bytes;
    prepare(call);
    // The option takes a list that outlives the transfer. An empty value removes the header.
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    headers = curl_slist_append(headers, "Content-Type: application/octet-stream");
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, headers);
    curl_multi_add_handle(m_multi, m_handle);
    const CURLcode code = run();
    if (code == CURLE_OK) {
        curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &m_reply.status);
    } else {
        m_reply.error = curl_easy_strerror(code);
    }
    curl_multi_remove_handle(m_multi, m_handle);
    curl_slist_free_all(headers);
    return std::exchange(m_reply, {});
}

}  // namespace poplarshed::platform
