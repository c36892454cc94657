#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "common/common.h"

/// Typed settings of the daemons. Each setting is declared once, below, and read by its constant.
namespace poplarshed::settings {

/// How tasks are placed on runners. The last two are baselines for measurements.
enum class placement_policy { expected_finish, random_choice, round_robin_static };

/// Size in bytes; in a file either a number of bytes or text such as "16MiB".
struct byte_size {
    std::uint64_t bytes = 0;

    // The linter takes the comparison with literal zero inside the generated operator for a null pointer.
    constexpr auto operator<=>(const byte_size&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Seed address of a peer's inner listener.
struct peer_address {
    endpoint address;
    data_centre_id data_centre;

    bool operator==(const peer_address&) const = default;
};

using peer_list = std::vector<peer_address>;

enum class presence { optional, required };
enum class visibility { shown, secret };

/// What a text setting accepts.
struct text_rule {
    bool (*accepts)(std::string_view text);
    std::string_view allowed;  ///< for error messages and the reference
};

/// Declaration of one setting. Durations are text with a unit ("500ms", "3s", "10min", "1h") in the file.
template <class T>
struct setting {
    using default_type =
        std::conditional_t<std::is_same_v<T, std::string>, std::string_view,
                           std::conditional_t<std::is_same_v<T, peer_list>, std::monostate, T>>;

    std::string_view section;
    std::string_view key;
    default_type default_value{};
    std::string_view unit = {};
    std::optional<default_type> minimum = {};
    std::optional<default_type> maximum = {};
    const text_rule* rule = nullptr;
    settings::presence presence = presence::optional;
    settings::visibility visibility = visibility::shown;
    std::string_view description;

    /// "section.key"
    std::string path() const { return std::string(section) + "." + std::string(key); }
};

/// Rules for text settings; see their `allowed` text.
extern const text_rule ip_address_rule;
extern const text_rule listen_rule;
extern const text_rule optional_endpoint_rule;
extern const text_rule endpoint_rule;
extern const text_rule name_rule;
extern const text_rule key_rule;

inline constexpr setting<std::string> instance_address{
    .section = "instance",
    .key = "address",
    .rule = &ip_address_rule,
    .presence = presence::required,
    .description = "IP address at which callers and peers reach this instance."};
inline constexpr setting<std::string> instance_data_centre{
    .section = "instance",
    .key = "data_centre",
    .rule = &name_rule,
    .presence = presence::required,
    .description = "Data centre of this instance, as the platform names it."};

inline constexpr setting<std::string> http_listen{
    .section = "http",
    .key = "listen",
    .default_value = "0.0.0.0:8080",
    .rule = &listen_rule,
    .description = "Listener for callers, operators and metrics; port 0 takes a free port."};
inline constexpr setting<std::uint64_t> http_threads{
    .section = "http",
    .key = "threads",
    .default_value = 2,
    .unit = "threads",
    .minimum = 1,
    .maximum = 64,
    .description = "Threads that read requests and write answers."};
inline constexpr setting<byte_size> http_max_body_bytes{
    .section = "http",
    .key = "max_body_bytes",
    .default_value = byte_size{4U << 20U},
    .unit = "bytes",
    .minimum = byte_size{1U << 10U},
    .maximum = byte_size{64U << 20U},
    .description = "Largest body of a request; a larger one is refused with body_too_large."};

inline constexpr setting<std::uint64_t> limits_max_tasks_per_job{
    .section = "limits",
    .key = "max_tasks_per_job",
    .default_value = 1300,
    .unit = "tasks",
    .minimum = 1,
    .maximum = 100'000,
    .description = "Most tasks in one job; more are refused with too_many_tasks."};
inline constexpr setting<std::uint64_t> limits_max_jobs_in_flight{
    .section = "limits",
    .key = "max_jobs_in_flight",
    .default_value = 20'000,
    .unit = "jobs",
    .minimum = 1,
    .maximum = 1'000'000,
    .description = "Most jobs held at once; bounds the memory of this instance."};

inline constexpr setting<std::string> inner_listen{
    .section = "inner",
    .key = "listen",
    .default_value = "0.0.0.0:8081",
    .rule = &listen_rule,
    .description = "Listener for the internal protocol; port 0 takes a free port."};
inline constexpr setting<std::string> inner_advertise{
    .section = "inner",
    .key = "advertise",
    .rule = &optional_endpoint_rule,
    .description =
        "Address that peers use; empty means instance.address with the port of inner.listen, unless that is "
        "0."};
inline constexpr setting<peer_list> inner_peers{
    .section = "inner",
    .key = "peers",
    .description = "Seed peers, a list of {\"address\": \"ip:port\", \"data_centre\": \"name\"}."};
inline constexpr setting<std::string> inner_key{
    .section = "inner",
    .key = "key",
    .rule = &key_rule,
    .visibility = visibility::secret,
    .description = "Shared key of the cluster, with which peers prove their identity."};
inline constexpr setting<std::string> inner_key_environment{
    .section = "inner",
    .key = "key_environment",
    .description = "Environment variable that holds the shared key in place of inner.key."};

inline constexpr setting<std::string> platform_address{
    .section = "platform",
    .key = "address",
    .rule = &endpoint_rule,
    .presence = presence::required,
    .description = "HTTP address of the platform's key-value service and instance list."};
inline constexpr setting<milliseconds> platform_lease_ttl{
    .section = "platform",
    .key = "lease_ttl",
    .default_value = seconds(10),
    .unit = "duration",
    .minimum = seconds(1),
    .maximum = seconds(120),
    .description = "Time after which the lease of a silent instance lapses and the view may drop it."};
inline constexpr setting<milliseconds> platform_list_poll_interval{
    .section = "platform",
    .key = "list_poll_interval",
    .default_value = seconds(2),
    .unit = "duration",
    .minimum = milliseconds(100),
    .maximum = seconds(60),
    .description = "Time between readings of the platform's instance list."};

inline constexpr setting<milliseconds> registry_retention{
    .section = "registry",
    .key = "retention",
    .default_value = std::chrono::minutes(10),
    .unit = "duration",
    .minimum = seconds(1),
    .maximum = std::chrono::hours(1),
    .description = "Time for which a submission id is remembered; a resubmission within it starts nothing."};
inline constexpr setting<milliseconds> registry_claim_timeout{
    .section = "registry",
    .key = "claim_timeout",
    .default_value = seconds(2),
    .unit = "duration",
    .minimum = milliseconds(10),
    .maximum = seconds(10),
    .description = "Time to wait for a registrar; then the job is refused with registrar_unavailable."};

inline constexpr setting<byte_size> answers_max_bytes{
    .section = "answers",
    .key = "max_bytes",
    .default_value = byte_size{16U << 20U},
    .unit = "bytes",
    .minimum = byte_size{0},
    .maximum = byte_size{1U << 30U},
    .description = "Memory for finished answers kept for resubmissions; the oldest are dropped first."};
inline constexpr setting<milliseconds> answers_retention{
    .section = "answers",
    .key = "retention",
    .default_value = std::chrono::minutes(10),
    .unit = "duration",
    .minimum = milliseconds(0),
    .maximum = std::chrono::hours(1),
    .description = "Longest time for which a finished answer is kept."};

inline constexpr setting<milliseconds> membership_heartbeat_interval{
    .section = "membership",
    .key = "heartbeat_interval",
    .default_value = milliseconds(500),
    .unit = "duration",
    .minimum = milliseconds(20),
    .maximum = seconds(10),
    .description = "Time between heartbeats to each peer."};

inline constexpr setting<milliseconds> drain_limit{
    .section = "drain",
    .key = "limit",
    .default_value = seconds(60),
    .unit = "duration",
    .minimum = milliseconds(0),
    .maximum = std::chrono::hours(1),
    .description = "Longest time a leaving instance waits for its jobs; the rest get drain_limit."};

inline constexpr setting<placement_policy> dispatch_policy{
    .section = "dispatch",
    .key = "policy",
    .default_value = placement_policy::expected_finish,
    .description = "Placement of tasks: expected_finish, random_choice or round_robin_static."};
inline constexpr setting<bool> dispatch_slot_sharing{
    .section = "dispatch",
    .key = "slot_sharing",
    .default_value = true,
    .description = "Whether entry instances of a data centre lend runner slots to each other."};

inline constexpr setting<std::uint64_t> upstream_connections_per_runner{
    .section = "upstream",
    .key = "connections_per_runner",
    .default_value = 10,
    .unit = "connections",
    .minimum = 1,
    .maximum = 60,
    .description = "Most connections to one runner, which accepts about 60 from all instances together."};

inline constexpr setting<std::string> operator_token{
    .section = "operator",
    .key = "token",
    .visibility = visibility::secret,
    .description = "Bearer token for the operator interface; without one, that interface refuses all."};
inline constexpr setting<std::string> operator_token_environment{
    .section = "operator",
    .key = "token_environment",
    .description = "Environment variable that holds the token in place of operator.token."};

inline constexpr setting<severity> log_level{
    .section = "log",
    .key = "level",
    .default_value = severity::info,
    .description = "Least severe level that is logged: debug, info, warning or error."};
inline constexpr setting<std::string> log_file{
    .section = "log", .key = "file", .description = "Log file; empty means standard error."};

/// Value of any setting.
using setting_value = std::variant<bool, std::uint64_t, byte_size, milliseconds, std::string,
                                   placement_policy, severity, peer_list>;

/// Settings of poplarshed-entry: checked and complete. Immutable, so that any thread may read them.
class entry_settings {
public:
    explicit entry_settings(std::map<std::string, setting_value> values) : m_values(std::move(values)) {}

    /// Value in force. Secrets named by an environment variable are already resolved.
    template <class T>
    const T& get(const setting<T>& declaration) const
    {
        return std::get<T>(m_values.at(declaration.path()));
    }

    /// One "section.key = value" line for each setting, for the log at start; secrets are hidden.
    std::string to_text() const;

private:
    std::map<std::string, setting_value> m_values;
};

/// Reads and checks a settings file. The error names the file, the line or key path, the value and what is
/// allowed.
result<entry_settings> load_entry_settings(const std::string& path);

/// The same for text that is already read. @param name shown in errors
result<entry_settings> parse_entry_settings(std::string_view text, const std::string& name);

/// Reference of all settings: plain text for --print-settings.
std::string reference_text();

/// Reference of all settings in Markdown: the content of docs/settings.md.
std::string reference_markdown();

/// Text of a value as a settings file has it.
std::string to_text(const setting_value& value);

std::string_view to_string(placement_policy value);

}  // namespace poplarshed::settings
