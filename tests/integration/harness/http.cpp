#include "integration/harness/http.h"

#include <curl/curl.h>

#include <memory>
#include <stdexcept>

namespace poplarshed::integration {

namespace {

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* user)
{
    static_cast<std::string*>(user)->append(data, size * count);
    return size * count;
}

json expect_ok(const http_result& result, const std::string& what)
{
    constexpr long ok = 200;
    if (result.status != ok) {
        throw std::runtime_error(what + ": " + std::to_string(result.status) + " " + result.error +
                                 result.body);
    }
    return result.parsed();
}

}  // namespace

http_result call(const std::string& address, const std::string& path, const http_options& options)
{
    const std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(), curl_easy_cleanup);
    curl_slist* lines = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : options.headers) {
        std::string line = name;
        line.append(": ").append(value);
        lines = curl_slist_append(lines, line.c_str());
    }
    const std::unique_ptr<curl_slist, void (*)(curl_slist*)> headers(lines, curl_slist_free_all);
    http_result result;
    curl_easy_setopt(handle.get(), CURLOPT_URL, ("http://" + address + path).c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, options.method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    if (!options.body.empty() || options.method == "POST") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, options.body.data());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(options.body.size()));
    }
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(options.timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &result.body);
    const CURLcode code = curl_easy_perform(handle.get());
    if (code == CURLE_OK) {
        curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &result.status);
    } else {
        result.error = curl_easy_strerror(code);
    }
    return result;
}

json post(const std::string& address, const std::string& path, const json& body)
{
    return expect_ok(call(address, path, {.method = "POST", .body = body.dump(), .headers = {}}), path);
}

json get(const std::string& address, const std::string& path)
{
    return expect_ok(call(address, path), path);
}

}  // namespace poplarshed::integration
