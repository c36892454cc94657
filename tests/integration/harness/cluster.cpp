#include "integration/harness/cluster.h"

#include <boost/asio.hpp>
#include <fstream>
#include <set>
#include <stdexcept>

#include "configuration/configuration.h"

namespace poplarshed::integration {

namespace {

constexpr const char* workspace = "booking";
constexpr const char* operator_token = "integration-operator-token";
constexpr const char* data_centre = "ollur";

std::string local(const json& port)
{
    return "127.0.0.1:" + std::to_string(port.get<std::uint16_t>());
}

// A port that the kernel has just given and taken back.
std::uint16_t free_port()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    return boost::asio::ip::tcp::acceptor(io, any).local_endpoint().port();
}

json first_bundle()
{
    const json hold{{"idempotent", false},
                    {"timeout_ms", 3000},
                    {"deadline_ms", 8000},
                    {"attempts", 3},
                    {"promises_not_run", true}};
    json render = hold;
    render["idempotent"] = true;
    render["timeout_ms"] = 1000;
    json rerun = render;
    rerun["on_owner_lost"] = "rerun";
    return {{"services", {{hold_service, hold}, {render_service, render}, {rerun_service, rerun}}},
            {"teams",
             {{workspace, {{"services", {hold_service, render_service, rerun_service}}, {"weight", 1}}}}}};
}

json body_of(const job_call& job)
{
    json tasks = json::array();
    for (std::size_t task = 0; task < job.tasks; ++task) {
        const json payload{{"run_ms", job.run_ms}, {"tag", job.tag}};
        tasks.push_back({{"payload", payload.dump()}, {"run_ms", job.run_ms}});
    }
    return {{"tasks", tasks}};
}

job_answer to_answer(const http_result& result)
{
    job_answer answer;
    answer.status = result.status;
    answer.text = result.body + result.error;
    const json fields = result.parsed();
    if (fields.is_object()) {
        answer.outcome = fields.value("outcome", "");
        answer.verdict = fields.value("verdict", "");
        answer.reason = fields.value("reason", "");
        answer.results = fields.value("results", json::array());
    }
    return answer;
}

job_answer send(const std::string& address, const job_call& job)
{
    http_options request{.method = "POST", .body = body_of(job).dump(), .headers = {}};
    request.headers = {{"Idempotency-Key", job.submission},
                       {"Poplarshed-Team", workspace},
                       {"Poplarshed-Deadline-Ms", std::to_string(job.deadline.count())}};
    // A job is answered by its deadline; the rest is for a busy machine.
    request.timeout = job.deadline + wait_limit;
    return to_answer(call(address, "/v1/services/" + job.service + "/jobs", request));
}

// What is wrong with the result of one task, empty if nothing.
std::string check_result(const job_call& job, std::size_t task, const json& result)
{
    const json parsed = result.is_string() ? json::parse(result.get<std::string>(), nullptr, false) : json();
    const bool own = parsed.is_object() && parsed.value("submission", "") == job.submission &&
                     parsed.value("task", job.tasks) == task && parsed.value("tag", "") == job.tag;
    return own ? "" : "task " + std::to_string(task) + " has the result " + result.dump() + "; ";
}

}  // namespace

void entry_instance::start(const json& settings, const std::filesystem::path& folder)
{
    const std::string name = "entry" + std::to_string(m_index) + "-run" + std::to_string(++m_runs);
    const std::filesystem::path file = folder / (name + ".json");
    std::ofstream(file) << settings.dump(2);
    m_process = std::make_unique<child_process>(
        "poplarshed-entry", std::vector<std::string>{"--settings", file.string()}, folder, name);
    const json ready = m_process->ready();
    m_http = ready.at("http");
}

bool entry_instance::is_ready() const
{
    constexpr long ok = 200;
    return call(m_http, "/readyz").status == ok;
}

cluster::cluster(cluster_options options) : m_options(std::move(options))
{
    const auto& folder = m_folder.path();
    const std::vector<std::string> lag{"--list-lag-ms", std::to_string(m_options.list_lag.count())};
    m_platform = std::make_unique<child_process>("stand-in-platform", lag, folder, "platform");
    std::vector<std::string> arguments{"--runners",     std::to_string(m_options.runners),
                                       "--data-centre", data_centre,
                                       "--services",    "hold,render,rerun"};
    arguments.insert(arguments.end(), m_options.runner_arguments.begin(), m_options.runner_arguments.end());
    m_upstream = std::make_unique<child_process>("stand-in-upstream", arguments, folder, "upstream");
    std::vector<std::string> routes;
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        // The target is set once the instance has chosen its port.
        routes.insert(routes.end(), {"--route", "0=127.0.0.1:1"});
    }
    m_proxy = std::make_unique<child_process>("fault-proxy", routes, folder, "proxy");
    const json platform = m_platform->ready();
    m_platform_address = local(platform.at("port"));
    m_platform_control = local(platform.at("control"));
    const json upstream = m_upstream->ready();
    m_upstream_control = local(upstream.at("control"));
    upstream.at("runners").get_to(m_runners);
    const json proxy = m_proxy->ready();
    m_proxy_control = local(proxy.at("control"));
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        m_entries.push_back(std::make_unique<entry_instance>(index, local(proxy.at("listen").at(index))));
        const json route = post(m_proxy_control, "/routes", {{"target", m_platform_address}});
        m_platform_routes.push_back(local(route.at("listen")));
    }
    publish_instances(true);
    publish_bundle(1);
}

json cluster::entry_settings(std::size_t index) const
{
    json peers = json::array();
    for (const auto& other : m_entries) {
        if (other != m_entries.at(index)) {
            peers.push_back({{"address", other->advertised()}, {"data_centre", data_centre}});
        }
    }
    return {{"instance", {{"address", "127.0.0.1"}, {"data_centre", data_centre}}},
            {"http", {{"listen", "127.0.0.1:0"}}},
            {"inner",
             {{"advertise", m_entries.at(index)->advertised()},
              {"peers", peers},
              {"key", "0123456789abcdef0123456789abcdef"}}},
            {"platform",
             {{"address", m_platform_routes.at(index)},
              {"lease_ttl", std::to_string(m_options.lease_ttl.count()) + "ms"},
              {"list_poll_interval", "500ms"}}},
            {"membership", {{"heartbeat_interval", "100ms"}}},
            {"drain", {{"limit", "20s"}}},
            {"operator", {{"token", operator_token}}}};
}

void cluster::start_entry(std::size_t index)
{
    // The daemon prints the address that it advertises, not its listener, so that the port is chosen here.
    const std::string inner = "127.0.0.1:" + std::to_string(free_port());
    set_route_faults(index, {{"target", inner}, {"refuse", false}});
    json settings = entry_settings(index);
    settings["inner"]["listen"] = inner;
    m_entries.at(index)->start(settings, m_folder.path());
}

void cluster::kill_entry(std::size_t index)
{
    m_entries.at(index)->process().kill();
    // The proxy would go on to accept connections for a port that nobody listens on.
    set_route_faults(index, {{"refuse", true}});
}

void cluster::start_entries()
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        start_entry(index);
    }
    require_eventually("all entry instances in one view", [this] { return is_settled(); });
}

job_answer cluster::submit(std::size_t entry_index, const job_call& job) const
{
    return send(m_entries.at(entry_index)->http(), job);
}

std::future<job_answer> cluster::submit_later(std::size_t entry_index, const job_call& job) const
{
    return std::async(std::launch::async, send, m_entries.at(entry_index)->http(), job);
}

void cluster::await_start(const std::string& submission) const
{
    require_eventually(submission + " starts", [&] { return starts(submission).at("started") > 0; });
}

json cluster::starts(const std::string& submission) const
{
    return get(m_upstream_control, "/starts?submission=" + submission);
}

std::string cluster::check_answer(const job_call& job, const job_answer& answer) const
{
    std::string problems;
    const json record = starts(job.submission);
    if (record.at("tasks_started_more_than_once") != 0) {
        problems += "tasks started more than once: " + record.dump() + "; ";
    }
    if (answer.not_run() && record.at("started") != 0) {
        problems += "not_run, but tasks started: " + record.dump() + "; ";
    }
    if (!answer.complete()) {
        return answer.results.empty() ? problems : problems + "results in an answer that is not complete; ";
    }
    return problems + check_results(job, answer);
}

std::string cluster::check_results(const job_call& job, const job_answer& answer)
{
    std::string problems;
    if (answer.results.size() != job.tasks) {
        return "expected " + std::to_string(job.tasks) + " results: " + answer.text;
    }
    for (std::size_t task = 0; task < job.tasks; ++task) {
        problems += check_result(job, task, answer.results.at(task));
    }
    return problems;
}

void cluster::set_peer_link_faults(const json& fields) const
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        set_route_faults(index, fields);
    }
}

void cluster::set_platform_link_faults(std::size_t entry_index, const json& fields) const
{
    set_route_faults(m_entries.size() + entry_index, fields);
}

void cluster::set_route_faults(std::size_t route, json fields) const
{
    fields["route"] = route;
    post(m_proxy_control, "/faults", fields);
}

void cluster::publish_instances(bool at_once) const
{
    post(m_platform_control, at_once ? "/instances?at_once=1" : "/instances",
         get(m_upstream_control, "/instances"));
}

void cluster::publish_bundle(std::uint64_t version, const json& changes)
{
    json bundle = first_bundle();
    bundle.merge_patch(changes);
    bundle["version"] = version;
    const auto parsed = configuration::parse_bundle(bundle.dump(), "bundle");
    if (!parsed) {
        throw std::runtime_error(parsed.error().message);
    }
    const configuration::pointer pointer{parsed.value().version,
                                         configuration::digest_of(parsed.value()),
                                         configuration_version(version - 1),
                                         operator_id("proposer"),
                                         operator_id("reviewer"),
                                         operator_id("proposer"),
                                         version};
    write_key(configuration::bundle_key(pointer.version), configuration::canonical_text(parsed.value()), 0);
    m_pointer_revision = write_key(std::string(configuration::pointer_key), configuration::to_text(pointer),
                                   m_pointer_revision);
}

std::uint64_t cluster::write_key(const std::string& key, const std::string& value,
                                 std::uint64_t expected) const
{
    const std::string path = "/v1/kv/" + key + "?cas=" + std::to_string(expected);
    const auto written = call(m_platform_address, path, {.method = "PUT", .body = value, .headers = {}});
    const json fields = written.parsed();
    if (!fields.is_object() || written.status / 100 != 2) {
        throw std::runtime_error(key + " was not written: " + written.error + written.body);
    }
    return fields.at("revision");
}

json cluster::status_of(std::size_t entry_index) const
{
    http_options request;
    request.headers = {{"Authorization", std::string("Bearer ") + operator_token}};
    const json status = call(m_entries.at(entry_index)->http(), "/v1/status", request).parsed();
    return status.is_object() ? status : json::object();
}

std::uint64_t cluster::version_of(std::size_t entry_index) const
{
    return status_of(entry_index).value("configuration_version", std::uint64_t{0});
}

bool cluster::is_settled() const
{
    std::set<std::uint64_t> epochs;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        const json status = status_of(index);
        if (!status.value("ready", false) || !status.value("member", false) ||
            status.value("single_registrar", true)) {
            return false;
        }
        epochs.insert(status.value("epoch", std::uint64_t{0}));
    }
    return epochs.size() == 1;
}

}  // namespace poplarshed::integration
