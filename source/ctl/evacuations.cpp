#include "ctl/evacuations.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

namespace poplarshed::ctl {

namespace {

/// A sample of a metric with the label `data_centre`.
struct sample {
    std::string_view metric;
    std::string data_centre;
    double value = 0;
};

std::optional<sample> read_sample(std::string_view line)
{
    constexpr std::string_view label = "{data_centre=\"";
    constexpr std::string_view end = "\"} ";
    const std::size_t begin = line.find(label);
    const std::size_t close = line.rfind(end);
    if (begin == std::string_view::npos || close == std::string_view::npos || close < begin + label.size()) {
        return std::nullopt;
    }
    sample found;
    found.metric = line.substr(0, begin);
    found.data_centre = line.substr(begin + label.size(), close - begin - label.size());
    const std::string_view number = line.substr(close + end.size());
    const auto parsed = std::from_chars(number.data(), number.data() + number.size(), found.value);
    return parsed.ec == std::errc() ? std::optional(found) : std::nullopt;
}

}  // namespace

std::vector<evacuation_state> read_evacuations(std::string_view metrics)
{
    std::map<std::string, evacuation_state> states;
    while (!metrics.empty()) {
        const std::size_t length = std::min(metrics.find('\n'), metrics.size());
        const auto read = read_sample(metrics.substr(0, length));
        metrics.remove_prefix(std::min(length + 1, metrics.size()));
        if (!read) {
            continue;
        }
        if (read->metric == "poplarshed_data_centre_evacuated") {
            states[read->data_centre].in_force = read->value > 0;
        } else if (read->metric == "poplarshed_evacuation_seconds") {
            states[read->data_centre].seconds = read->value;
        } else if (read->metric == "poplarshed_evacuated_runs") {
            states[read->data_centre].runs = read->value;
        }
    }
    std::vector<evacuation_state> found;
    for (auto& [data_centre, state] : states) {
        state.data_centre = data_centre;
        found.push_back(state);
    }
    return found;
}

}  // namespace poplarshed::ctl
