#include "entry/job_parser.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace poplarshed::entry {

namespace {

using nlohmann::json;

constexpr std::size_t max_id_bytes = 128;
constexpr std::int64_t max_declared_run_ms = 3'600'000;

refusal refuse(refusal_reason reason, std::string detail = {})
{
    return {verdict::not_run, reason, {}, std::move(detail)};
}

bool is_id_character(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '.' || c == '_' || c == '-';
}

json parse_bounded(std::string_view body, std::size_t max_depth)
{
    bool too_deep = false;
    const auto check_depth = [&](int depth, json::parse_event_t /*event*/, json& /*value*/) {
        too_deep = too_deep || depth > static_cast<int>(max_depth);
        return !too_deep;
    };
    json document = json::parse(body, check_depth, false);
    return too_deep ? json(json::value_t::discarded) : document;
}

request_result<dispatch::task_request> parse_task(json& item, std::size_t index)
{
    const std::string place = "tasks[" + std::to_string(index) + "]";
    if (!item.is_object()) {
        return refuse(refusal_reason::invalid_body, place + " is not an object");
    }
    dispatch::task_request task;
    for (auto& [key, value] : item.items()) {
        if (key == "payload" && value.is_string()) {
            task.payload = std::move(value.get_ref<std::string&>());
        } else if (key == "run_ms" && value.is_number_unsigned() &&
                   value.get<std::int64_t>() <= max_declared_run_ms) {
            task.declared_run_time = milliseconds(value.get<std::int64_t>());
        } else {
            std::string fault = place;
            fault.append(".").append(key).append(" is unknown or has a wrong value");
            return refuse(refusal_reason::invalid_body, fault);
        }
    }
    if (!item.contains("payload")) {
        return refuse(refusal_reason::invalid_body, place + ".payload is missing");
    }
    return task;
}

}  // namespace

request_result<std::vector<dispatch::task_request>> parse_tasks(std::string_view body,
                                                                const job_limits& limits)
{
    if (body.size() > limits.max_body_bytes) {
        return refuse(refusal_reason::body_too_large);
    }
    json document = parse_bounded(body, limits.max_depth);
    if (!document.is_object() || document.size() != 1 || !document.contains("tasks")) {
        return refuse(refusal_reason::invalid_body,
                      "the body is not a JSON object with the one member tasks");
    }
    json& items = document["tasks"];
    if (!items.is_array() || items.empty()) {
        return refuse(refusal_reason::invalid_body, "tasks is not an array of at least one task");
    }
    if (items.size() > limits.max_tasks) {
        return refuse(refusal_reason::too_many_tasks);
    }
    std::vector<dispatch::task_request> tasks;
    tasks.reserve(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
        auto task = parse_task(items[i], i);
        if (!task) {
            return std::move(task).error();
        }
        tasks.push_back(std::move(task).value());
    }
    return tasks;
}

request_result<submission_id> parse_submission_id(std::string_view text)
{
    if (text.empty()) {
        return refuse(refusal_reason::missing_submission_id);
    }
    if (text.size() > max_id_bytes || !std::all_of(text.begin(), text.end(), is_id_character)) {
        return refuse(refusal_reason::invalid_submission_id);
    }
    return submission_id(std::string(text));
}

}  // namespace poplarshed::entry
