#include <cmath>

#include "json/json.h"
#include "platform/platform.h"

namespace poplarshed::platform {

namespace {

constexpr std::size_t max_text_length = 256;
constexpr std::size_t max_services = 1000;
constexpr std::uint64_t max_slots = 10'000;
constexpr std::uint64_t max_accelerators = 1000;
constexpr double max_speed = 1000.0;
// At the target size of docs/design.md 1.7 the list has about 1,500 entries of 300 bytes.
constexpr json::limits list_limits{.max_bytes = 8U << 20U, .max_depth = 6};

// Reads the fields of one entry and remembers whether any was invalid.
class field_reader {
public:
    explicit field_reader(const json::value& fields) : m_fields(fields) {}

    std::string text(const char* name)
    {
        const auto found = m_fields.find(name);
        if (found == m_fields.end() || !found->is_string()) {
            m_valid = false;
            return {};
        }
        auto value = found->get<std::string>();
        m_valid = m_valid && !value.empty() && value.size() <= max_text_length;
        return value;
    }

    std::uint64_t number(const char* name, std::uint64_t maximum)
    {
        const auto found = m_fields.find(name);
        if (found == m_fields.end()) {
            return 0;
        }
        m_valid = m_valid && found->is_number_unsigned() && found->get<std::uint64_t>() <= maximum;
        return m_valid ? found->get<std::uint64_t>() : 0;
    }

    double speed()
    {
        const auto found = m_fields.find("speed");
        if (found == m_fields.end()) {
            return 1.0;
        }
        const double value = found->is_number() ? found->get<double>() : 0.0;
        m_valid = m_valid && std::isfinite(value) && value > 0.0 && value <= max_speed;
        return value;
    }

    std::vector<service_id> services()
    {
        std::vector<service_id> result;
        const auto found = m_fields.find("services");
        m_valid = m_valid && found != m_fields.end() && found->is_array() && found->size() <= max_services;
        for (std::size_t index = 0; m_valid && index < found->size(); ++index) {
            const json::value& item = (*found)[index];
            m_valid = item.is_string() && item.get_ref<const std::string&>().size() <= max_text_length;
            if (m_valid) {
                result.emplace_back(item.get<std::string>());
            }
        }
        return result;
    }

    void require(bool condition) { m_valid = m_valid && condition; }
    bool valid() const { return m_valid; }

private:
    const json::value& m_fields;
    bool m_valid = true;
};

std::optional<dispatch::runner> parse_runner(const json::value& fields)
{
    field_reader reader(fields);
    dispatch::runner runner;
    runner.address = endpoint(reader.text("address"));
    runner.data_centre = data_centre_id(reader.text("data_centre"));
    runner.rack = reader.text("rack");
    runner.worker = reader.text("worker");
    runner.slots = static_cast<std::uint32_t>(reader.number("slots", max_slots));
    runner.services = reader.services();
    runner.declared_speed = reader.speed();
    runner.memory_mb = reader.number("memory_mb", std::uint64_t{1} << 40U);
    runner.accelerators = static_cast<std::uint32_t>(reader.number("accelerators", max_accelerators));
    const std::string state = reader.text("state");
    runner.leaving = state == "leaving";
    reader.require(runner.leaving || state == "live");
    reader.require(runner.slots > 0);
    reader.require(runner.address.value().find(':') != std::string::npos);
    return reader.valid() ? std::optional(std::move(runner)) : std::nullopt;
}

}  // namespace

result<instance_list> parse_instances(std::string_view text)
{
    const auto parsed = json::parse(text, "instance list", list_limits);
    if (!parsed) {
        return parsed.error();
    }
    const json::value& document = parsed.value();
    if (!document.is_object() || !document.contains("instances") || !document["instances"].is_array()) {
        return error{"instance list: expected an object with the array 'instances'"};
    }
    instance_list list;
    for (const json::value& item : document["instances"]) {
        if (!item.is_object() || !item.contains("role")) {
            ++list.skipped;
            continue;
        }
        if (item["role"] != "runner") {
            continue;
        }
        auto runner = parse_runner(item);
        if (runner) {
            list.runners.push_back(std::move(*runner));
        } else {
            ++list.skipped;
        }
    }
    return list;
}

}  // namespace poplarshed::platform
