#include "registry/registrar.h"

namespace poplarshed::registry {

namespace {

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace

registrar::registrar(instance_id self, data_centre_id data_centre, registrar_options options,
                     random_source random)
    : m_self(std::move(self)),
      m_options(std::move(options)),
      m_keeper(m_self, m_options, m_out),
      m_claimant(m_self, std::move(data_centre), m_options, random, m_out)
{}

void registrar::begin_claim(const claim_request& request, time_point now)
{
    m_claimant.begin(request, now);
}

void registrar::on_message(const instance_id& from, const message& body, time_point now)
{
    std::visit(overloaded{
                   [&](const claim& m) { m_keeper.on_claim(m, now); },
                   [&](const claim_forward& m) { m_keeper.on_forward(from, m, now); },
                   [&](const claim_grant& m) { m_claimant.on_grant(m, now); },
                   [&](const claim_known& m) { m_claimant.on_known(m, now); },
                   [&](const claim_refuse& m) { m_claimant.on_refuse(m, now); },
                   [&](const records_sync& m) { m_keeper.on_sync(from, m, now); },
                   [&](const sync_ack& m) { m_keeper.on_ack(from, m, now); },
                   [&](const claim_release& m) { m_keeper.on_release(from, m); },
               },
               body);
}

void registrar::on_view(const membership::view& view, time_point now)
{
    m_keeper.on_view(view, now);
    m_claimant.on_view(view, now);
}

void registrar::on_instance_failed(const instance_id& instance, time_point now)
{
    m_claimant.on_instance_failed(instance, now);
}

void registrar::on_member_skipped(const data_centre_id& home, view_epoch epoch, const instance_id& instance)
{
    m_keeper.on_member_skipped(home, epoch, instance);
}

void registrar::on_timer(time_point now)
{
    m_keeper.on_timer(now);
    m_claimant.on_timer(now);
}

void registrar::release(const submission_id& id, time_point /*now*/)
{
    m_claimant.release(id);
}

ownership registrar::answer_follower(const submission_id& id, const digest& body, time_point /*now*/)
{
    return m_claimant.answer_follower(id, body);
}

void registrar::set_platform_reachable(bool reachable)
{
    m_claimant.set_platform_reachable(reachable);
}

std::vector<action> registrar::take_actions(time_point now)
{
    std::vector<action> result;
    while (!m_out.empty()) {
        for (action& next : m_out.take()) {
            const auto* sent = std::get_if<send_message>(&next);
            if (sent != nullptr && sent->to == m_self) {
                on_message(m_self, sent->body, now);
            } else {
                result.push_back(std::move(next));
            }
        }
    }
    return result;
}

registrar_counts registrar::counts() const
{
    registrar_counts counts;
    counts.records = m_keeper.records();
    counts.record_bytes = m_keeper.bytes();
    counts.records_synced = m_keeper.synced_records();
    m_claimant.add_counts(counts);
    return counts;
}

}  // namespace poplarshed::registry
