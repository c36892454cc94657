#include <curl/curl.h>

#include <memory>

#include "ctl/ctl.h"

namespace poplarshed::ctl {

namespace {

constexpr long connect_timeout_ms = 1'000;
constexpr long call_timeout_ms = 5'000;
constexpr std::size_t max_answer_bytes = 1U << 20U;

struct curl_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target)
{
    auto& body = *static_cast<std::string*>(target);
    const std::size_t bytes = size * count;
    if (body.size() + bytes > max_answer_bytes) {
        return 0;
    }
    body.append(data, bytes);
    return bytes;
}

}  // namespace

ctl_result<instance_answer> call_instance(const std::string& method, const endpoint& instance,
                                          const std::string& path, const std::string& token)
{
    const std::unique_ptr<CURL, curl_deleter> handle(curl_easy_init());
    const std::string url = "http://" + instance.value() + path;
    const std::string authorization = "Authorization: Bearer " + token;
    const std::unique_ptr<curl_slist, curl_deleter> headers(
        curl_slist_append(nullptr, authorization.c_str()));
    instance_answer answer;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, call_timeout_ms);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
    if (method == "POST") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, "");
    }
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return failure{exit_code::unreachable, instance.value() + ": " + curl_easy_strerror(code), {}};
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    return answer;
}

}  // namespace poplarshed::ctl
