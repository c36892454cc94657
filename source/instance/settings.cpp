#include "instance/settings.h"

#include "json/json.h"

namespace poplarshed::instance {

namespace {

constexpr std::size_t max_file_bytes = 1U << 18U;
constexpr std::uint64_t max_duration_ms = 600'000;
constexpr double max_slowdown = 100;
constexpr double max_cpu_share = 1024;
constexpr double milli = 1000;

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
        });
        section("callers", true, [&](json::object_reader& in) {
            in.require("listen");
            address(in, "listen", values.callers);
            in.read("time_limit_header", values.time_limit_header);
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
