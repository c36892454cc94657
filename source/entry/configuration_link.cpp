#include "entry/configuration_link.h"

#include <type_traits>
#include <utility>

namespace poplarshed::entry {

configuration_link::configuration_link(parts links, const configuration::rollout_options& options,
                                       std::uint64_t seed, time_point now)
    : m_links(std::move(links)), m_rollout(options, seed, now)
{}

void configuration_link::on_timer(time_point now)
{
    if (now >= m_rollout.next_timer()) {
        execute(m_rollout.on_timer(now), now);
    }
    keep_watch();
}

// One instance of a data centre watches the pointer; the others hear of a change from its heartbeats. A watch
// counts as a call to the platform for as long as it waits.
void configuration_link::keep_watch()
{
    const bool wanted = m_links.core.is_first_member();
    if (wanted == m_watching) {
        return;
    }
    m_watching = wanted;
    if (wanted) {
        m_links.platform.watch_key(std::string(configuration::pointer_key), m_pointer_revision);
    } else {
        m_links.platform.stop_watch();
    }
}

void configuration_link::handle(const key_read& event, time_point now)
{
    if (event.key == configuration::pointer_key) {
        take_pointer(event, now);
    } else if (event.status == platform::read_status::found) {
        take_bundle(event.entry.value, event.key, now);
    } else {
        execute(m_rollout.on_fetch_failed(now), now);
    }
}

void configuration_link::take_pointer(const key_read& event, time_point now)
{
    if (event.status == platform::read_status::unavailable) {
        execute(m_rollout.on_pointer_failed(now), now);
        return;
    }
    if (event.status == platform::read_status::absent) {
        execute(m_rollout.on_pointer(std::nullopt, now), now);
        return;
    }
    m_pointer_revision = std::max(m_pointer_revision, event.entry.revision);
    const auto document = configuration::parse_pointer(event.entry.value, event.key);
    if (!document) {
        m_links.log.error(telemetry::category::configuration, "the pointer document is not valid",
                          {{"detail", document.error().message}});
        execute(m_rollout.on_pointer_failed(now), now);
        return;
    }
    execute(m_rollout.on_pointer(document.value(), now), now);
}

void configuration_link::take_bundle(const std::string& text, const std::string& source, time_point now)
{
    const auto bundle = configuration::parse_bundle(text, source);
    if (bundle) {
        execute(m_rollout.on_bundle(bundle.value(), now), now);
        return;
    }
    m_links.log.error(telemetry::category::configuration,
                      "a bundle is not valid; keeping the version in force",
                      {{"source", source}, {"detail", bundle.error().message}});
    execute(m_rollout.on_fetch_failed(now), now);
}

void configuration_link::handle(const peer_message& event, time_point now)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { receive(event.from.address, message, now); }) {
                receive(event.from.address, message, now);
            }
        },
        event.message);
}

void configuration_link::receive(const endpoint& from, const membership::heartbeat& message, time_point now)
{
    execute(m_rollout.on_peer_version(from, message.configuration_version, now), now);
}

void configuration_link::receive(const endpoint& from, const wire::bundle_pull& message, time_point /*now*/)
{
    if (m_rollout.ready() && m_rollout.in_force() >= message.version) {
        m_links.send(from, wire::bundle_push{m_rollout.in_force(), m_text_in_force});
    }
}

void configuration_link::receive(const endpoint& from, const wire::bundle_push& message, time_point now)
{
    take_bundle(message.text, from.value(), now);
}

void configuration_link::on_peer_lost(const endpoint& peer, time_point now)
{
    execute(m_rollout.on_peer_disconnected(peer, now), now);
}

void configuration_link::execute(const configuration::rollout_actions& actions, time_point now)
{
    for (const configuration::rollout_action& action : actions) {
        std::visit([this, now](const auto& item) { execute(item, now); }, action);
    }
}

void configuration_link::execute(const configuration::read_pointer& /*action*/, time_point /*now*/)
{
    m_links.platform.read_key(std::string(configuration::pointer_key));
}

void configuration_link::execute(const configuration::fetch_from_platform& action, time_point /*now*/)
{
    m_links.platform.read_key(configuration::bundle_key(action.version));
}

void configuration_link::execute(const configuration::pull_from_peer& action, time_point /*now*/)
{
    m_links.send(action.peer, wire::bundle_pull{action.version});
}

void configuration_link::execute(const configuration::apply_bundle& action, time_point now)
{
    m_text_in_force = configuration::canonical_text(action.content);
    m_links.core.apply(action.content, now);
    m_links.log.info(telemetry::category::configuration, "a configuration is in force",
                     {{"version", action.content.version.value()}});
}

void configuration_link::execute(const configuration::bundle_rejected& action, time_point /*now*/)
{
    m_links.log.error(telemetry::category::configuration,
                      "a bundle does not match the digest in the pointer; keeping the version in force",
                      {{"version", action.version.value()}});
}

}  // namespace poplarshed::entry
