#include "entry/answer_text.h"

#include <pistache/base64.h>

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace poplarshed::entry {

namespace {

using nlohmann::ordered_json;

constexpr int http_ok = 200;

std::string to_base64(const std::string& bytes)
{
    std::vector<std::byte> input(bytes.size());
    std::transform(bytes.begin(), bytes.end(), input.begin(),
                   [](char c) { return static_cast<std::byte>(c); });
    Base64Encoder encoder(input);
    return encoder.Encode();
}

// Appends the JSON form of a result to `text`. dump() throws on text that is not UTF-8.
void append_result(std::string& text, const std::string& result)
{
    try {
        text += ordered_json(result).dump();
    } catch (const ordered_json::type_error&) {
        text += ordered_json{{"base64", to_base64(result)}}.dump();
    }
}

std::string dump(const ordered_json& value)
{
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

ordered_json cause_members(std::string_view outcome, const refusal& cause)
{
    ordered_json members{
        {"outcome", outcome}, {"verdict", to_string(cause.ran)}, {"reason", to_string(cause.reason)}};
    if (cause.retry_after) {
        members["retry_after_ms"] = cause.retry_after->count();
    }
    if (!cause.detail.empty()) {
        members["detail"] = cause.detail;
    }
    return members;
}

struct answer_writer {
    const submission_id& submission;

    http_answer operator()(const dispatch::job_complete& outcome) const
    {
        std::string text =
            R"({"submission":)" + dump(submission.value()) + R"(,"outcome":"complete","results":[)";
        for (std::size_t i = 0; i < outcome.results.size(); ++i) {
            text += i == 0 ? "" : ",";
            append_result(text, outcome.results[i]);
        }
        text += "]}";
        return {http_ok, std::move(text)};
    }

    http_answer operator()(const dispatch::job_failed& outcome) const
    {
        ordered_json members = cause_members("failed", outcome.cause);
        if (outcome.task) {
            members["task"] = *outcome.task;
        }
        return finish(std::move(members), outcome.cause);
    }

    http_answer operator()(const dispatch::job_refused& outcome) const
    {
        return finish(cause_members("refused", outcome.cause), outcome.cause);
    }

    http_answer finish(ordered_json members, const refusal& cause) const
    {
        members["submission"] = submission.value();
        return {http_status(cause.reason), dump(members)};
    }
};

}  // namespace

http_answer to_answer(const submission_id& submission, const dispatch::job_outcome& outcome)
{
    return std::visit(answer_writer{submission}, outcome);
}

http_answer to_answer(const refusal& cause)
{
    return {http_status(cause.reason), dump(cause_members("refused", cause))};
}

}  // namespace poplarshed::entry
