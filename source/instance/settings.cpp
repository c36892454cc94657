#include "instance/settings.h"

#include <algorithm>
#include <array>

#include "json/json.h"

namespace poplarshed::instance {

namespace {

constexpr std::size_t max_file_bytes = 1U << 18U;
constexpr std::uint64_t max_duration_ms = 600'000;
constexpr double max_slowdown = 100;
constexpr double max_cpu_share = 1024;
constexpr double milli = 1000;

constexpr std::size_t max_machine_mb = std::size_t{1} << 24U;
constexpr std::size_t max_machine_fds = std::size_t{1} << 24U;

// Of the machine's memory callers hold two fifths at most: the rest is for the program, for a document that
// is being read, and for what the memory allocator keeps. Beyond the greatest figure, more helps no caller.
constexpr std::size_t least_derived_mb = 8;
constexpr std::size_t greatest_derived_mb = 256;
// Half of the descriptors are left to workers, peers and the store.
constexpr std::size_t least_derived_connections = 64;
constexpr std::size_t greatest_derived_connections = 4096;

/// One whole number of the section callers.limits.
struct limit_field {
    const char* key;
    std::size_t caller_limits::*member;
    std::uint64_t minimum;
    std::uint64_t maximum;
};

constexpr std::array<limit_field, 9> limit_fields{{
    {"memory_mb", &caller_limits::memory_mb, 1, 65'536},
    {"connections", &caller_limits::connections, 4, 1'000'000},
    {"head_bytes", &caller_limits::head_bytes, 1024, 1'048'576},
    {"header_fields", &caller_limits::header_fields, 8, 10'000},
    {"body_progress_bytes_per_s", &caller_limits::body_progress_bytes_per_s, 1, 1'000'000'000},
    {"pipelined_requests", &caller_limits::pipelined_requests, 1, 1024},
    {"unsent_bytes", &caller_limits::unsent_bytes, 4096, 67'108'864},
    {"json_fields", &caller_limits::json_fields, 16, 1'000'000},
    {"json_depth", &caller_limits::json_depth, 4, 256},
}};

// Defaults that suit the machine, where its size is known.
caller_limits derived_limits(const settings& values)
{
    caller_limits limits;
    if (values.memory_mb > 0) {
        limits.memory_mb = std::clamp(values.memory_mb * 2 / 5, least_derived_mb, greatest_derived_mb);
    }
    if (values.max_fds > 0) {
        limits.connections =
            std::clamp(values.max_fds / 2, least_derived_connections, greatest_derived_connections);
    }
    return limits;
}

class reader {
public:
    reader(const json::value& root, std::vector<std::string>& faults)
        : m_root(root, "", faults), m_faults(faults)
    {}

    settings run()
    {
        settings values;
        section("instance", true, [&](json::object_reader& in) {
            required(in, "name", values.name);
            std::string data_centre;
            required(in, "data_centre", data_centre);
            values.data_centre = data_centre_id(data_centre);
            double share = 1;
            in.read("cpu_share", share, 0.001, max_cpu_share);
            values.cpu_milli = static_cast<std::int64_t>(share * milli);
            count(in, "memory_mb", values.memory_mb, 1, max_machine_mb);
            count(in, "max_fds", values.max_fds, 1, max_machine_fds);
        });
        section("callers", true, [&](json::object_reader& in) {
            in.require("listen");
            address(in, "listen", values.callers);
            in.read("time_limit_header", values.time_limit_header);
            values.limits = derived_limits(values);
            read_limits(in, values.limits);
        });
        section("readiness", false,
                [&](json::object_reader& in) { address(in, "listen", values.readiness); });
        section("metrics", false, [&](json::object_reader& in) { address(in, "listen", values.metrics); });
        section("peers", true, [&](json::object_reader& in) {
            in.require("listen");
            address(in, "listen", values.peers_listen);
            values.peers = values.peers_listen;
            address(in, "advertise", values.peers);
            required(in, "key", values.peer_key);
            read_seeds(in, values);
        });
        section("store", true, [&](json::object_reader& in) {
            in.require("address");
            address(in, "address", values.store);
        });
        section("workers", false, [&](json::object_reader& in) {
            span(in, "longest_lease_ms", values.longest_lease);
            span(in, "stop_time_ms", values.stop_time);
            in.read("remote_slowdown", values.remote_slowdown, 1.0, max_slowdown);
        });
        section("drain", false, [&](json::object_reader& in) { span(in, "grace_ms", values.grace); });
        section("log", false, [&](json::object_reader& in) { in.read("decisions", values.log_decisions); });
        m_root.finish();
        return values;
    }

private:
    template <class Read>
    void section(const std::string& name, bool needed, Read read)
    {
        if (needed) {
            m_root.require(name);
        }
        if (const json::value* item = m_root.object(name)) {
            json::object_reader in(*item, name, m_faults);
            read(in);
            in.finish();
        }
    }

    static void required(json::object_reader& in, const std::string& key, std::string& target)
    {
        in.require(key);
        in.read(key, target);
        if (target.empty()) {
            in.fault(key, "must not be empty");
        }
    }

    static bool is_address(const std::string& text)
    {
        const auto colon = text.rfind(':');
        return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
               text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
    }

    static void address(json::object_reader& in, const std::string& key, endpoint& target)
    {
        std::string text = target.value();
        in.read(key, text);
        if (!text.empty() && !is_address(text)) {
            in.fault(key, "must be ip:port");
        }
        target = endpoint(text);
    }

    static void span(json::object_reader& in, const std::string& key, milliseconds& target)
    {
        auto value = static_cast<std::uint64_t>(target.count());
        in.read(key, value, 1, max_duration_ms);
        target = milliseconds(static_cast<std::int64_t>(value));
    }

    static void count(json::object_reader& in, const std::string& key, std::size_t& target,
                      std::uint64_t minimum, std::uint64_t maximum)
    {
        std::uint64_t value = target;
        in.read(key, value, minimum, maximum);
        target = static_cast<std::size_t>(value);
    }

    void read_limits(json::object_reader& callers, caller_limits& limits)
    {
        const json::value* section = callers.object("limits");
        if (section == nullptr) {
            return;
        }
        json::object_reader in(*section, callers.path_of("limits"), m_faults);
        for (const limit_field& field : limit_fields) {
            count(in, field.key, limits.*field.member, field.minimum, field.maximum);
        }
        span(in, "head_timeout_ms", limits.head_timeout);
        in.finish();
    }

    static void read_seeds(json::object_reader& in, settings& values)
    {
        const json::value* seeds = in.array("seeds");
        if (seeds == nullptr) {
            return;
        }
        for (const json::value& seed : *seeds) {
            if (!seed.is_string() || !is_address(seed.get<std::string>())) {
                in.fault("seeds", "must hold ip:port");
                return;
            }
            values.seeds.emplace_back(seed.get<std::string>());
        }
    }

    json::object_reader m_root;
    std::vector<std::string>& m_faults;
};

}  // namespace

result<settings> parse_settings(const std::string& text, const std::string& name)
{
    const auto root = json::parse(text, name, {max_file_bytes, 16, json::comments::ignored});
    if (!root) {
        return root.error();
    }
    if (!root.value().is_object()) {
        return error{name + ": must hold a JSON object"};
    }
    std::vector<std::string> faults;
    settings values = reader(root.value(), faults).run();
    if (!faults.empty()) {
        return error{name + ": " + json::joined(faults)};
    }
    return values;
}

result<settings> load_settings(const std::string& path)
{
    const auto text = json::read_file(path, max_file_bytes);
    if (!text) {
        return text.error();
    }
    return parse_settings(text.value(), path);
}

}  // namespace poplarshed::instance
