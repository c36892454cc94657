#include "configuration/bundle_text.h"

#include <algorithm>
#include <array>
#include <limits>

#include "json/json.h"

namespace poplarshed::configuration {

namespace {

using json::object_reader;

// Names of services and workspaces are used in URL paths, headers and metric labels.
constexpr std::size_t max_name_length = 64;
constexpr std::uint64_t max_milliseconds = 3'600'000;  // 1 h
// Other JSON parsers read numbers as doubles, which represent larger integers inexactly.
constexpr std::uint64_t max_version = std::uint64_t{1} << 53U;
// Rounding error that a sum of shares may have: ten times 0.1 does not add up to exactly 1.
constexpr double share_tolerance = 1e-9;

constexpr std::array<std::string_view, 2> owner_lost_names{"refuse", "rerun"};
constexpr std::array<std::string_view, 2> ambiguous_names{"refuse", "run"};

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_';
           });
}

void read_milliseconds(object_reader& reader, const std::string& key, milliseconds& target)
{
    auto count = static_cast<std::uint64_t>(target.count());
    reader.read(key, count, 1, max_milliseconds);
    target = milliseconds(count);
}

void read_count(object_reader& reader, const std::string& key, std::uint32_t& target, std::uint32_t minimum,
                std::uint32_t maximum)
{
    std::uint64_t count = target;
    reader.read(key, count, minimum, maximum);
    target = static_cast<std::uint32_t>(count);
}

template <class Enum>
void read_choice(object_reader& reader, const std::string& key, Enum& target,
                 std::span<const std::string_view> names)
{
    auto index = static_cast<std::size_t>(target);
    reader.read_word(key, index, names);
    target = static_cast<Enum>(index);
}

requirements read_requirements(const json::value& source, const std::string& path,
                               std::vector<std::string>& faults)
{
    constexpr std::uint64_t max_memory_mb = 16U << 20U;
    constexpr std::uint32_t max_accelerators = 64;
    requirements needs;
    object_reader reader(source, path, faults);
    reader.read("memory_mb", needs.memory_mb, 0, max_memory_mb);
    read_count(reader, "accelerators", needs.accelerators, 0, max_accelerators);
    reader.finish();
    return needs;
}

service read_service(const json::value& source, const std::string& path, std::vector<std::string>& faults)
{
    constexpr std::uint32_t max_attempts = 10;
    constexpr std::uint32_t max_urgency = 9;
    service content;
    object_reader reader(source, path, faults);
    reader.read("idempotent", content.idempotent);
    read_milliseconds(reader, "timeout_ms", content.timeout);
    read_milliseconds(reader, "deadline_ms", content.deadline);
    read_count(reader, "attempts", content.attempts, 1, max_attempts);
    reader.read("hedge", content.hedge);
    read_count(reader, "urgency", content.urgency, 0, max_urgency);
    read_choice(reader, "on_owner_lost", content.on_owner_lost, owner_lost_names);
    read_choice(reader, "on_ambiguous", content.on_ambiguous, ambiguous_names);
    if (const json::value* const needs = reader.object("requires")) {
        content.needs = read_requirements(*needs, path + ".requires", faults);
    }
    reader.read("promises_not_run", content.promises_not_run);
    reader.finish();
    return content;
}

void read_workspace_services(const json::value& list, const std::string& path, workspace& content,
                             std::vector<std::string>& faults)
{
    for (const json::value& name : list) {
        if (!name.is_string()) {
            faults.push_back(path + " holds " + json::shown(name) + "; names of services are expected");
        } else if (!content.services.insert(service_id(name.get<std::string>())).second) {
            faults.push_back(path + " names " + json::shown(name) + " twice");
        }
    }
}

workspace read_workspace(const json::value& source, const std::string& path, std::vector<std::string>& faults)
{
    constexpr double min_weight = 0.001;
    constexpr double max_weight = 1e6;
    constexpr std::uint32_t max_in_flight = 10'000'000;
    workspace content;
    object_reader reader(source, path, faults);
    if (const json::value* const services = reader.array("services")) {
        read_workspace_services(*services, path + ".services", content, faults);
    }
    reader.read("weight", content.weight, min_weight, max_weight);
    reader.read("guaranteed_share", content.guaranteed_share, 0.0, 1.0);
    read_count(reader, "max_tasks_in_flight", content.max_tasks_in_flight, 1, max_in_flight);
    reader.finish();
    return content;
}

// Calls read(name, value, path) for each member with a valid name.
template <class Read>
void read_members(const json::value& members, const std::string& section, std::size_t maximum,
                  std::vector<std::string>& faults, Read read)
{
    if (members.size() > maximum) {
        faults.push_back(section + " has " + std::to_string(members.size()) + " members, at most " +
                         std::to_string(maximum) + " allowed");
        return;
    }
    for (const auto& [name, value] : members.items()) {
        const std::string path = std::string(section).append(".").append(name);
        if (!is_name(name)) {
            faults.push_back(path + " has a wrong name; allowed: 1 to 64 characters of [A-Za-z0-9_-]");
            continue;
        }
        read(name, value, path);
    }
}

bundle read_bundle(const json::value& root, std::vector<std::string>& faults)
{
    bundle content;
    object_reader reader(root, "", faults);
    std::uint64_t version = 0;
    reader.read("version", version, 0, max_version);
    content.version = configuration_version(version);
    reader.require("services");
    reader.require("teams");
    if (const json::value* const services = reader.object("services")) {
        read_members(*services, "services", max_services, faults,
                     [&](const auto& name, const auto& value, auto& path) {
                         content.services.emplace(name, read_service(value, path, faults));
                     });
    }
    if (const json::value* const workspaces = reader.object("teams")) {
        read_members(*workspaces, "teams", max_workspaces, faults,
                     [&](const auto& name, const auto& value, auto& path) {
                         content.workspaces.emplace(name, read_workspace(value, path, faults));
                     });
    }
    reader.finish();
    return content;
}

json::value to_json(const service& content)
{
    return {
        {"idempotent", content.idempotent},
        {"timeout_ms", content.timeout.count()},
        {"deadline_ms", content.deadline.count()},
        {"attempts", content.attempts},
        {"hedge", content.hedge},
        {"urgency", content.urgency},
        {"on_owner_lost", owner_lost_names.at(static_cast<std::size_t>(content.on_owner_lost))},
        {"on_ambiguous", ambiguous_names.at(static_cast<std::size_t>(content.on_ambiguous))},
        {"requires", {{"memory_mb", content.needs.memory_mb}, {"accelerators", content.needs.accelerators}}},
        {"promises_not_run", content.promises_not_run}};
}

json::value to_json(const workspace& content)
{
    json::value services = json::value::array();
    for (const service_id& name : content.services) {
        services.push_back(name.value());
    }
    return {{"services", std::move(services)},
            {"weight", content.weight},
            {"guaranteed_share", content.guaranteed_share},
            {"max_tasks_in_flight", content.max_tasks_in_flight}};
}

json::value to_json(const bundle& content)
{
    json::value root = {{"version", content.version.value()},
                        {"services", json::value::object()},
                        {"teams", json::value::object()}};
    for (const auto& [name, settings] : content.services) {
        root["services"][name.value()] = to_json(settings);
    }
    for (const auto& [name, settings] : content.workspaces) {
        root["teams"][name.value()] = to_json(settings);
    }
    return root;
}

void check_service(const std::string& path, const service& content, std::vector<std::string>& faults)
{
    if (content.idempotent) {
        return;
    }
    const std::string restriction = " is allowed for idempotent services only";
    if (content.hedge) {
        faults.push_back(path + ".hedge" + restriction);
    }
    if (content.on_owner_lost == owner_lost_policy::rerun) {
        faults.push_back(path + ".on_owner_lost \"rerun\"" + restriction);
    }
    if (content.on_ambiguous == ambiguous_policy::run) {
        faults.push_back(path + ".on_ambiguous \"run\"" + restriction);
    }
}

// Appends the differences between two JSON values to `out`; descends into objects.
void compare(const std::string& path, const json::value* before, const json::value* after,
             std::vector<difference>& out)
{
    if (before != nullptr && after != nullptr && *before == *after) {
        return;
    }
    if (before != nullptr && after != nullptr && before->is_object() && after->is_object()) {
        json::value keys = *before;
        keys.update(*after);
        for (const auto& [key, unused] : keys.items()) {
            const auto left = before->find(key);
            const auto right = after->find(key);
            compare(path.empty() ? key : std::string(path).append(".").append(key),
                    left == before->end() ? nullptr : &*left, right == after->end() ? nullptr : &*right, out);
        }
        return;
    }
    out.push_back({path, before == nullptr ? "" : before->dump(), after == nullptr ? "" : after->dump()});
}

}  // namespace

std::vector<std::string> check(const bundle& content)
{
    std::vector<std::string> faults;
    std::vector<std::string> names;
    names.reserve(content.services.size());
    for (const auto& [name, settings] : content.services) {
        names.push_back(name.value());
        check_service("services." + name.value(), settings, faults);
    }
    double share_sum = 0;
    for (const auto& [name, settings] : content.workspaces) {
        share_sum += settings.guaranteed_share;
        for (const service_id& used : settings.services) {
            if (!content.services.contains(used)) {
                faults.push_back("teams." + name.value() + ".services names '" + used.value() +
                                 "', which is no service" + json::suggestion(used.value(), names));
            }
        }
    }
    if (share_sum > 1 + share_tolerance) {
        faults.push_back("teams: the guaranteed shares add up to " + json::value(share_sum).dump() +
                         "; at most 1 allowed");
    }
    return faults;
}

result<bundle> parse_bundle(std::string_view text, const std::string& name, bool comments)
{
    constexpr std::size_t max_depth = 8;
    const auto root = json::parse(text, name,
                                  {.max_bytes = max_bundle_bytes,
                                   .max_depth = max_depth,
                                   .comments = comments ? json::comments::ignored : json::comments::refused});
    if (!root) {
        return root.error();
    }
    std::vector<std::string> faults;
    bundle content = read_bundle(root.value(), faults);
    const auto rule_faults = check(content);
    faults.insert(faults.end(), rule_faults.begin(), rule_faults.end());
    if (!faults.empty()) {
        return error{name + ": " + json::joined(faults)};
    }
    return content;
}

std::string canonical_text(const bundle& content)
{
    return to_json(content).dump();
}

std::string readable_text(const bundle& content)
{
    return to_json(content).dump(2) + "\n";
}

digest digest_of(const bundle& content)
{
    return digest::of(canonical_text(content));
}

std::vector<difference> differences(const bundle& before, const bundle& after)
{
    json::value left = to_json(before);
    json::value right = to_json(after);
    left.erase("version");
    right.erase("version");
    std::vector<difference> out;
    compare("", &left, &right, out);
    return out;
}

std::string to_text(const std::vector<difference>& changes)
{
    std::string text;
    for (const difference& change : changes) {
        if (change.before.empty()) {
            text += "+ " + change.path + " = " + change.after + "\n";
        } else if (change.after.empty()) {
            text += "- " + change.path + " = " + change.before + "\n";
        } else {
            text += "~ " + change.path + ": " + change.before + " -> " + change.after + "\n";
        }
    }
    return text;
}

}  // namespace poplarshed::configuration
