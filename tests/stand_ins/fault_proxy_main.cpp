#include <memory>
#include <stdexcept>
#include <vector>

#include "stand_ins/program.h"
#include "stand_ins/proxy_route.h"

namespace poplarshed::stand_ins {

namespace {

/// All routes of the process and the control interface over them.
class fault_proxy {
public:
    fault_proxy(net::io_context& io, std::uint16_t control_port, const std::vector<std::string>& routes)
        : m_io(io)
    {
        for (const std::string& text : routes) {
            const auto equals = text.find('=');
            if (equals == std::string::npos) {
                throw std::invalid_argument("expected PORT=IP:PORT, got " + text);
            }
            add_route(static_cast<std::uint16_t>(std::stoul(text.substr(0, equals))),
                      text.substr(equals + 1));
        }
        m_control =
            open_control(io, control_port, [this](const http_request& request) { return control(request); });
    }

    json ready() const
    {
        json ports = json::array();
        for (const auto& item : m_routes) {
            ports.push_back(item->port());
        }
        return {{"control", m_control->port()}, {"listen", ports}};
    }

private:
    std::size_t add_route(std::uint16_t port, const std::string& target)
    {
        m_routes.push_back(std::make_unique<proxy_route>(m_io, port, target));
        return m_routes.size() - 1;
    }

    http_response control(const http_request& request)
    {
        const std::string target(request.target());
        const bool post = request.method() == http::verb::post;
        if (post && target == "/faults") {
            json fields = json::parse(request.body());
            const auto chosen = chosen_routes(fields);
            fields.erase("route");
            for (proxy_route* item : chosen) {
                item->set_faults(fields);
            }
            return json_response(json::object());
        }
        if (post && target == "/restore") {
            for (proxy_route* item :
                 chosen_routes(json::parse(request.body().empty() ? "{}" : request.body()))) {
                item->restore();
            }
            return json_response(json::object());
        }
        if (post && target == "/routes") {
            const json fields = json::parse(request.body());
            const std::size_t index =
                add_route(fields.value("listen", std::uint16_t{0}), fields.at("target"));
            return json_response({{"route", index}, {"listen", m_routes.at(index)->port()}});
        }
        if (request.method() == http::verb::get && target == "/status") {
            return status();
        }
        return text_response("unknown call", http::status::not_found);
    }

    http_response status() const
    {
        json routes = json::array();
        for (const auto& item : m_routes) {
            routes.push_back(item->status());
        }
        return json_response({{"routes", routes}});
    }

    // "route": index of one route; without it all.
    std::vector<proxy_route*> chosen_routes(const json& fields) const
    {
        if (fields.contains("route")) {
            return {m_routes.at(fields.at("route").get<std::size_t>()).get()};
        }
        std::vector<proxy_route*> all;
        for (const auto& item : m_routes) {
            all.push_back(item.get());
        }
        return all;
    }

    net::io_context& m_io;
    std::vector<std::unique_ptr<proxy_route>> m_routes;
    std::shared_ptr<http_server> m_control;
};

}  // namespace

}  // namespace poplarshed::stand_ins

int main(int argc, char** argv)
{
    using namespace poplarshed::stand_ins;
    CLI::App app("TCP proxy that injects faults", "fault-proxy");
    std::uint16_t control_port = 0;
    std::vector<std::string> routes;
    app.add_option("--route", routes,
                   "PORT=IP:PORT, listening port (0 lets the kernel choose) and target; repeatable");
    app.add_option("--control-port", control_port, "port of the control interface; 0 lets the kernel choose");
    net::io_context io(1);
    std::unique_ptr<fault_proxy> proxy;
    return run_program(app, argc, argv, io, [&] {
        proxy = std::make_unique<fault_proxy>(io, control_port, routes);
        return proxy->ready();
    });
}
