#include <easylogging++.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>

#include "telemetry/telemetry.h"

INITIALIZE_EASYLOGGINGPP

namespace poplarshed::telemetry {

namespace {

constexpr std::array<std::string_view, 10> category_names{
    "process",       "http",     "jobs",     "registry", "membership",
    "configuration", "dispatch", "upstream", "peer",     "platform"};

constexpr std::array<el::Level, 4> library_levels{el::Level::Debug, el::Level::Info, el::Level::Warning,
                                                  el::Level::Error};

// The line is complete JSON already; the library's own formats would replace placeholders inside it.
class plain_line_builder : public el::LogBuilder {
public:
    std::string build(const el::LogMessage* message, bool append_newline) const override
    {
        return append_newline ? message->message() + "\n" : message->message();
    }
};

std::string utc_now()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t whole = std::chrono::system_clock::to_time_t(now);
    const auto since = now.time_since_epoch();
    const auto part = std::chrono::duration_cast<milliseconds>(since % seconds(1)).count();
    std::tm broken{};
    gmtime_r(&whole, &broken);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &broken);
    std::snprintf(text.data() + size, text.size() - size, ".%03dZ", static_cast<int>(part));
    return text.data();
}

el::Configurations configuration_for(const std::string& file)
{
    el::Configurations values;
    values.setToDefault();
    values.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
    values.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    if (!file.empty()) {
        values.setGlobally(el::ConfigurationType::Filename, file);
    }
    // Each line must be on disk or in the pipe before a crash.
    values.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
    return values;
}

}  // namespace

std::string_view to_string(category value)
{
    return category_names.at(static_cast<std::size_t>(value));
}

result<std::unique_ptr<logger>> logger::open(const log_options& options)
{
    if (!options.file.empty() && !std::ofstream(options.file, std::ios::app)) {
        return poplarshed::error{options.file + ": cannot be written: " + std::strerror(errno)};
    }
    static std::atomic<unsigned> count = 0;
    const std::string sink = "poplarshed-" + std::to_string(count.fetch_add(1));
    el::Logger* const created = el::Loggers::getLogger(sink);
    el::Loggers::reconfigureLogger(created, configuration_for(options.file));
    created->setLogBuilder(std::make_shared<plain_line_builder>());
    return std::unique_ptr<logger>(new logger(options, sink));
}

logger::logger(log_options options, std::string sink) : m_options(std::move(options)), m_sink(std::move(sink))
{}

logger::~logger()
{
    el::Loggers::unregisterLogger(m_sink);
}

void logger::write(severity level, category part, std::string_view message, std::span<const log_field> fields,
                   const submission_id& id)
{
    if (!enabled(level)) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = utc_now();
    line["level"] = to_string(level);
    line["category"] = to_string(part);
    line["instance"] = m_options.instance;
    line["data_centre"] = m_options.data_centre;
    if (!id.empty()) {
        line["submission"] = id.value();
    }
    line["message"] = message;
    for (const log_field& field : fields) {
        std::visit([&line, &field](const auto& value) { line["fields"][std::string(field.key)] = value; },
                   field.value);
    }
    // Bytes that are not UTF-8 are replaced, since they can come from callers and must not end the line.
    const std::string text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    el::base::Writer(library_levels.at(static_cast<std::size_t>(level)), __FILE__, __LINE__, ELPP_FUNC)
            .construct(1, m_sink.c_str())
        << text;
}

}  // namespace poplarshed::telemetry
