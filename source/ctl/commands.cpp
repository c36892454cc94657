#include "ctl/commands.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iostream>
#include <random>

#include "ctl/evacuations.h"
#include "ctl/request_path.h"
#include "json/json.h"
#include "settings/settings.h"

namespace poplarshed::ctl {

namespace {

constexpr int http_ok = 200;
constexpr int http_accepted = 202;

std::uint64_t random_bits()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

failure usage(const std::string& message)
{
    return {exit_code::usage, message, {}};
}

// The body's reason and detail, if it is a refusal.
failure refused_by(const endpoint& instance, const instance_answer& answer)
{
    return {exit_code::failed,
            instance.value() + " answered HTTP " + std::to_string(answer.status) + ": " + answer.body,
            {}};
}

}  // namespace

exit_code commands::print(const outcome& result) const
{
    if (!result) {
        const report failed = report_of(result.error());
        if (m_options.json) {
            std::cout << failed.json.dump() << '\n';
        } else {
            std::cerr << failed.text;
        }
        return result.error().code;
    }
    std::cout << (m_options.json ? result.value().json.dump() + "\n" : result.value().text);
    return exit_code::ok;
}

exit_code commands::with_workflow(configuration_task task, bool needs_operator)
{
    if (m_options.platform.empty()) {
        return print(usage("--platform ip:port or POPLARSHED_PLATFORM is required"));
    }
    operator_id who;
    if (needs_operator) {
        const auto parsed = configuration::parse_operator(m_options.operator_name);
        if (!parsed) {
            return print(usage("--operator or POPLARSHED_OPERATOR: " + parsed.error().message));
        }
        who = parsed.value();
    }
    platform::client_options client;
    client.address = endpoint(m_options.platform);
    platform_store store(client);
    workflow work(store, who, random_bits);
    return print((this->*task)(work));
}

exit_code commands::for_each_instance(outcome (commands::*task)(const endpoint& instance))
{
    if (m_options.instances.empty()) {
        return print(usage("--instance ip:port is required, once for each instance"));
    }
    exit_code worst = exit_code::ok;
    for (const std::string& instance : m_options.instances) {
        worst = std::max(worst, print((this->*task)(endpoint(instance))));
    }
    return worst;
}

exit_code commands::status()
{
    return for_each_instance(&commands::instance_status);
}

commands::outcome commands::instance_status(const endpoint& instance)
{
    const auto answer = call_instance("GET", instance, "/v1/status", m_options.token);
    if (!answer) {
        return answer.error();
    }
    const auto body = json::parse(answer.value().body, instance.value(), {});
    if (answer.value().status != http_ok || !body || !body.value().is_object()) {
        return refused_by(instance, answer.value());
    }
    report out{report_json::parse(answer.value().body), instance.value() + "\n"};
    for (const auto& [key, value] : out.json.items()) {
        out.text += "  " + key + ": " + value.dump() + "\n";
    }
    return out;
}

exit_code commands::drain()
{
    return for_each_instance(&commands::instance_drain);
}

// A second request would end the drain at once, so an instance that drains already is left alone.
commands::outcome commands::instance_drain(const endpoint& instance)
{
    const auto before = instance_status(instance);
    if (!before) {
        return before.error();
    }
    if (before.value().json.value("draining", false)) {
        return report{{{"instance", instance.value()}, {"draining", true}, {"already", true}},
                      instance.value() + " is draining already\n"};
    }
    const auto answer = call_instance("POST", instance, "/v1/drain", m_options.token);
    if (!answer) {
        return answer.error();
    }
    if (answer.value().status != http_ok && answer.value().status != http_accepted) {
        return refused_by(instance, answer.value());
    }
    return report{{{"instance", instance.value()}, {"draining", true}, {"already", false}},
                  instance.value() + " drains\n"};
}

exit_code commands::evacuation()
{
    return for_each_instance(&commands::instance_evacuations);
}

commands::outcome commands::instance_evacuations(const endpoint& instance)
{
    const auto answer = call_instance("GET", instance, "/metrics", m_options.token);
    if (!answer) {
        return answer.error();
    }
    if (answer.value().status != http_ok) {
        return refused_by(instance, answer.value());
    }
    report out{{{"instance", instance.value()}, {"data_centres", report_json::array()}}, {}};
    for (const evacuation_state& state : read_evacuations(answer.value().body)) {
        out.json["data_centres"].push_back({{"data_centre", state.data_centre},
                                            {"in_force", state.in_force},
                                            {"seconds", state.seconds},
                                            {"runs", state.runs}});
        out.text += "  " + state.data_centre;
        out.text += state.in_force
                        ? ": evacuated for " + std::to_string(std::lround(state.seconds)) + " s, " +
                              std::to_string(std::lround(state.runs)) + " runs left here\n"
                        : ": in use again\n";
    }
    out.text = instance.value() + (out.text.empty() ? ": no evacuation\n" : "\n" + out.text);
    return out;
}

exit_code commands::explain()
{
    if (!m_options.logs.empty()) {
        const auto found = find_request(m_options.reason, m_options.logs);
        return print(found ? outcome(report_of(found.value())) : outcome(found.error()));
    }
    if (const auto reason = parse_refusal_reason(m_options.reason)) {
        return print(report_of_reason(*reason));
    }
    std::vector<std::string> names;
    std::string list;
    for (const refusal_reason reason : all_refusal_reasons()) {
        names.emplace_back(to_string(reason));
        list += "\n  " + names.back();
    }
    return print(usage("no reason '" + m_options.reason + "'" + json::suggestion(m_options.reason, names) +
                       "\nreasons:" + list));
}

exit_code commands::settings()
{
    std::cout << (m_options.markdown ? settings::reference_markdown() : settings::reference_text());
    return exit_code::ok;
}

ctl_result<configuration::bundle> commands::read_bundle_file(const std::string& path) const
{
    const auto text = json::read_file(path, configuration::max_bundle_bytes);
    if (!text) {
        return usage(text.error().message);
    }
    const auto content = configuration::parse_bundle(text.value(), path, true);
    if (!content) {
        return failure{exit_code::failed, content.error().message, {}};
    }
    return content.value();
}

exit_code commands::validate()
{
    const auto content = read_bundle_file(m_options.file);
    if (!content) {
        return print(content.error());
    }
    const std::size_t services = content.value().services.size();
    const std::size_t workspaces = content.value().workspaces.size();
    return print(report{{{"valid", true}, {"services", services}, {"teams", workspaces}},
                        m_options.file + ": valid, " + std::to_string(services) + " services, " +
                            std::to_string(workspaces) + " teams\n"});
}

exit_code commands::propose()
{
    return with_workflow(&commands::run_propose, true);
}

commands::outcome commands::run_propose(workflow& work)
{
    const auto content = read_bundle_file(m_options.file);
    if (!content) {
        return content.error();
    }
    const auto proposed = work.propose(content.value(), m_options.note);
    return proposed ? outcome(report_of(proposed.value(), "proposed")) : proposed.error();
}

exit_code commands::sign_off()
{
    return with_workflow(&commands::run_sign_off, true);
}

commands::outcome commands::run_sign_off(workflow& work)
{
    const auto reviewed = configuration::parse_digest(m_options.digest);
    if (!reviewed) {
        return usage("--digest must be the digest that 'config show' printed, 32 hexadecimal characters");
    }
    const auto done = work.sign_off(configuration_version(m_options.version), *reviewed);
    return done ? outcome(report_of(done.value(), "signed off")) : done.error();
}

exit_code commands::roll_out()
{
    return with_workflow(&commands::run_roll_out, true);
}

commands::outcome commands::run_roll_out(workflow& work)
{
    const auto done = work.roll_out(configuration_version(m_options.version));
    return done ? outcome(report_of(done.value())) : done.error();
}

exit_code commands::history()
{
    return with_workflow(&commands::run_history, false);
}

commands::outcome commands::run_history(workflow& work)
{
    const auto items = work.list(m_options.limit);
    return items ? outcome(report_of(items.value())) : items.error();
}

exit_code commands::diff()
{
    return with_workflow(&commands::run_diff, false);
}

commands::outcome commands::run_diff(workflow& work)
{
    const auto before = resolve(work, m_options.file);
    if (!before) {
        return before.error();
    }
    const auto after = resolve(work, m_options.other);
    if (!after) {
        return after.error();
    }
    return report_of(configuration::differences(before.value(), after.value()));
}

ctl_result<configuration::bundle> commands::resolve(workflow& work, const std::string& name) const
{
    if (name == "current") {
        const auto pointer = work.current();
        if (!pointer) {
            return pointer.error();
        }
        return pointer.value() ? work.bundle_of(pointer.value()->version) : configuration::bundle{};
    }
    std::uint64_t version = 0;
    const char* const end = name.data() + name.size();
    const auto [stop, fault] = std::from_chars(name.data(), end, version);
    const bool is_number = fault == std::errc() && stop == end;
    return is_number ? work.bundle_of(configuration_version(version)) : read_bundle_file(name);
}

exit_code commands::show()
{
    return with_workflow(&commands::run_show, false);
}

commands::outcome commands::run_show(workflow& work)
{
    configuration_version version(m_options.version);
    if (version.value() == 0) {
        const auto pointer = work.current();
        if (!pointer) {
            return pointer.error();
        }
        if (!pointer.value()) {
            return failure{exit_code::failed, "no configuration was ever rolled out", {}};
        }
        version = pointer.value()->version;
    }
    const auto found = work.show(version);
    if (!found) {
        return found.error();
    }
    report out = report_of(found.value(), "stored");
    const report content = report_of_bundle(found.value().content);
    out.json["bundle"] = content.json;
    out.text += content.text;
    return out;
}

}  // namespace poplarshed::ctl
