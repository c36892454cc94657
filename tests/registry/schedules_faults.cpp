#include <algorithm>

#include "registry/schedules_world.h"

namespace poplarshed::schedules {

namespace {

constexpr milliseconds lease_ttl{300};
constexpr std::size_t max_snapshots = 6;

bool contains_member(const membership::view& view, const instance_id& instance)
{
    return std::any_of(view.members.begin(), view.members.end(),
                       [&instance](const auto& entry) { return entry.instance == instance; });
}

}  // namespace

std::shared_ptr<process> world::find(const endpoint& address)
{
    for (const auto& known : m_processes) {
        if (known->instance.address == address) {
            return known;
        }
    }
    return nullptr;
}

std::shared_ptr<process> world::random_running_process()
{
    std::vector<std::shared_ptr<process>> running;
    std::copy_if(m_processes.begin(), m_processes.end(), std::back_inserter(running),
                 [](const auto& candidate) { return candidate->running; });
    return running.empty() ? nullptr : running[m_random.below(running.size())];
}

bool world::is_cut(const endpoint& from, const endpoint& to) const
{
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const cut& line) {
        return m_now < line.until && line.from == from && line.to == to;
    });
}

void world::send(process& from, const instance_id& to, const packet& body)
{
    ++m_covered.messages;
    if (is_cut(from.instance.address, to.address) || chance(m_loss)) {
        return;
    }
    const int copies = chance(m_duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        // Some copies are delayed far beyond the usual latency.
        const milliseconds delay = chance(m_duplication / 4) ? between(1, 800) : between(0, m_max_delay_ms);
        at(delay, [this, source = from.instance, to, body] { deliver(source, to, body); });
    }
}

void world::deliver(const instance_id& from, const instance_id& to, const packet& body)
{
    const auto target = find(to.address);
    if (target->running && target->instance == to) {
        for_process(target, milliseconds(0), [this, from, body](process& receiver) {
            if (const auto* membership_message = std::get_if<membership::message>(&body)) {
                execute(receiver, receiver.member->on_message(from, *membership_message, m_now));
            } else {
                receiver.registrar->on_message(from, std::get<registry::message>(body), m_now);
                execute_registrar_actions(receiver);
            }
        });
        return;
    }
    const auto sender = find(from.address);
    if (sender->instance != from || is_cut(to.address, from.address)) {
        return;
    }
    const auto evidence =
        target->running ? membership::evidence::new_incarnation : membership::evidence::connection_refused;
    for_process(sender, milliseconds(1), [this, to, evidence](process& observer) {
        execute(observer, observer.member->on_evidence(to, evidence, m_now));
    });
}

membership::platform_snapshot world::snapshot() const
{
    membership::platform_snapshot result;
    result.views = m_views;
    for (const auto& [holder, lease] : m_leases) {
        if (lease.second > m_now) {
            result.live.push_back({holder, lease.first});
        }
    }
    return result;
}

void world::read_platform(process& reader)
{
    const auto self = find(reader.instance.address);
    at(between(1, 8), [this, self] {
        if (m_now < m_platform_down_until || m_now < self->platform_cut_until) {
            return;
        }
        const bool stale = !m_history.empty() && chance(0.1);
        const auto read = stale ? m_history[m_random.below(m_history.size())] : snapshot();
        for_process(self, between(1, 8), [this, read](process& reading) {
            execute(reading, reading.member->on_platform(read, m_now));
        });
    });
}

// Renews the lease and reads the platform, as the platform thread of the daemon does.
void world::keep_lease(process& holder)
{
    const auto self = find(holder.instance.address);
    if (m_now >= m_platform_down_until && m_now >= holder.platform_cut_until && !chance(m_loss / 2)) {
        m_leases[holder.instance] = {holder.data_centre, m_now + lease_ttl};
    }
    for_process(self, milliseconds(100), [this](process& again) {
        keep_lease(again);
        if (chance(0.6)) {
            read_platform(again);
        }
    });
}

void world::swap_view(process& writer, const membership::propose_view& proposal)
{
    const auto self = find(writer.instance.address);
    at(between(1, 10), [this, self, proposal] {
        if (m_now < m_platform_down_until || m_now < self->platform_cut_until) {
            return;
        }
        membership::platform_view& entry = m_views[proposal.view.data_centre];
        const bool won = entry.revision == proposal.expected;
        if (won) {
            if (proposal.view.amnesia_epoch == proposal.view.epoch) {
                ++m_covered.amnesia;
            }
            for (const auto& member : entry.view.members) {
                const bool removed = !contains_member(proposal.view, member.instance);
                m_covered.mistaken_removals += removed && !m_killed.contains(member.instance) ? 1 : 0;
            }
            for (const auto& member : proposal.view.members) {
                m_covered.borrowed += member.data_centre != proposal.view.data_centre ? 1 : 0;
            }
            entry = {proposal.view, membership::key_revision(++m_revision)};
            std::string members;
            for (const auto& member : entry.view.members) {
                members += " " + member.instance.address.value() + "#" +
                           std::to_string(member.instance.incarnation.value());
            }
            log_event("view " + entry.view.data_centre.value() + " " +
                      std::to_string(entry.view.epoch.value()) + (entry.view.settled ? " settled" : "") +
                      (entry.view.amnesia_epoch == entry.view.epoch ? " amnesia" : "") + members);
            m_history.push_back(snapshot());
            if (m_history.size() > max_snapshots) {
                m_history.erase(m_history.begin());
            }
        }
        const bool lost = chance(m_lost_answers);
        const auto status = lost  ? membership::swap_status::unknown
                            : won ? membership::swap_status::succeeded
                                  : membership::swap_status::conflict;
        const membership::key_revision revision = entry.revision;
        for_process(self, between(1, 10), [this, status, revision](process& proposer) {
            execute(proposer, proposer.member->on_swap(status, revision, m_now));
        });
    });
}

void world::plan()
{
    m_loss = chance(0.5) ? 0 : 0.15 * m_random.unit();
    m_duplication = chance(0.5) ? 0 : 0.2 * m_random.unit();
    m_lost_answers = chance(0.5) ? 0 : 0.3;
    m_max_delay_ms = chance(0.7) ? 5 : 40;
    const std::uint64_t first = 1 + m_random.below(5);
    const std::uint64_t second = 1 + m_random.below(3);
    for (std::uint64_t i = 0; i < first + second; ++i) {
        const data_centre_id home(i < first ? "a" : "b");
        boot(endpoint(home.value() + std::to_string(i)), home);
    }
    plan_jobs();
    const std::uint64_t faults = m_random.below(9);
    for (std::uint64_t i = 0; i < faults; ++i) {
        plan_fault();
    }
    at(milliseconds(3'000), [this] { heal(); });
    at(milliseconds(5'200), [this] { probe(); });
}

void world::plan_jobs()
{
    const std::uint64_t ids = 4 + m_random.below(8);
    for (std::uint64_t i = 0; i < ids; ++i) {
        plan_job(i);
    }
}

void world::plan_job(std::size_t number)
{
    const bool rerun = chance(0.3);
    const bool issued = chance(0.5);
    auto id = std::make_shared<submission_id>("free-" + std::to_string(number));
    const std::uint64_t submissions = 1 + m_random.below(6);
    milliseconds when = between(100, 2'500);
    for (std::uint64_t i = 0; i < submissions; ++i) {
        const bool other_body = chance(0.1);
        at(when, [this, id, rerun, issued, other_body, number] {
            const auto target = random_running_process();
            if (!target) {
                return;
            }
            const membership::view* view = target->member->find_view(target->data_centre);
            if (issued && id->value().starts_with("free")) {
                const std::uint64_t epoch = view == nullptr ? 0 : view->epoch.value();
                *id = submission_id(target->data_centre.value() + "." + std::to_string(epoch) + "." +
                                    std::to_string(number));
            }
            registry::claim_request claim;
            claim.id = *id;
            claim.body = digest::of(other_body ? "other" : "body");
            claim.rerun_if_owner_lost = rerun;
            for_process(target, milliseconds(0),
                        [this, claim](process& receiver) { submit(receiver, claim); });
        });
        when = std::min(when + (chance(0.5) ? between(0, 30) : between(30, 900)), milliseconds(2'950));
    }
}

void world::plan_fault()
{
    const milliseconds when = between(300, 2'800);
    const std::uint64_t kind = m_random.below(9);
    if (kind < 5) {
        fault_process(when, kind);
        return;
    }
    at(when, [this, kind] {
        const auto one = random_running_process();
        const auto other = random_running_process();
        if (!one) {
            return;
        }
        const time_point until = m_now + between(50, 1'500);
        if (kind == 5) {
            m_platform_down_until = until;
            log_event("platform down");
        } else if (kind == 6) {
            m_cuts.push_back({one->instance.address, other->instance.address, until});
        } else if (kind == 7) {
            for (const auto& peer : m_processes) {
                m_cuts.push_back({one->instance.address, peer->instance.address, until});
            }
            one->platform_cut_until = until;
            log_event("cut off " + one->instance.address.value());
        } else {
            const std::uint64_t number = m_processes.size();
            const data_centre_id home(chance(0.6) ? "a" : "b");
            boot(endpoint(home.value() + std::to_string(number)), home);
        }
    });
}

void world::fault_process(milliseconds when, std::uint64_t kind)
{
    at(when, [this, kind] {
        const auto target = random_running_process();
        if (!target) {
            return;
        }
        if (kind == 0) {
            kill(*target);
        } else if (kind == 1) {
            kill(*target);
            const instance_id killed = target->instance;
            at(between(1, 600), [this, killed, home = target->data_centre] {
                if (find(killed.address)->instance == killed) {
                    boot(killed.address, home);
                }
            });
        } else if (kind == 2) {
            target->paused_until = m_now + between(50, 1'500);
            log_event("pause " + target->instance.address.value());
        } else if (kind == 3) {
            log_event("leave " + target->instance.address.value());
            execute(*target, target->member->leave(m_now));
        } else {
            target->platform_cut_until = m_now + between(300, 1'500);
            log_event("platform cut " + target->instance.address.value());
        }
    });
}

// Ends all faults, so that the rest of the schedule shows whether the system recovers.
void world::heal()
{
    m_healed = true;
    m_cuts.clear();
    m_loss = 0;
    m_duplication = 0;
    m_platform_down_until = m_now;
    for (const auto& node : m_processes) {
        node->platform_cut_until = m_now;
        node->paused_until = std::min(node->paused_until, m_now);
        if (!node->running) {
            boot(node->instance.address, node->data_centre);
        }
    }
}

// Submits new ids after the faults have ended; each must get a decision.
void world::probe()
{
    std::uint64_t number = 0;
    for (const auto& target : m_processes) {
        const membership::view* view = target->member->find_view(target->data_centre);
        const std::string epoch = view == nullptr ? "0" : std::to_string(view->epoch.value());
        registry::claim_request claim;
        claim.id =
            submission_id(target->data_centre.value() + "." + epoch + ".probe" + std::to_string(++number));
        submit(*target, claim);
        at(milliseconds(400), [this, claim, asked = m_requests.size() - 1] {
            const request& own = m_requests[asked];
            if (own.outcomes != 1) {
                report_violation("no decision for " + claim.id.value() + " after the faults, outcomes " +
                                 std::to_string(own.outcomes));
            }
        });
    }
}

}  // namespace poplarshed::schedules
