#include "registry/claimant.h"

#include <algorithm>

namespace poplarshed::registry {

namespace {

constexpr std::size_t max_slots_swept_per_timer = 8'192;
// Owners keep a granted claim longer than the registrars keep its record; otherwise an owner could answer
// that it does not own a job which a record still assigns to it.
constexpr milliseconds owned_retention_margin{10'000};

digest digest_of(const submission_id& id)
{
    return digest::of(id.value());
}

}  // namespace

claimant::claimant(instance_id self, data_centre_id data_centre, const registrar_options& options,
                   random_source random, outbox& out)
    : m_self(std::move(self)),
      m_data_centre(std::move(data_centre)),
      m_options(options),
      m_random(random),
      m_out(out)
{}

claimant::pending_map::iterator claimant::find_pending(const claim_reference& reference)
{
    const auto found = m_pending.find(reference.id);
    return found != m_pending.end() && found->second.sequence == reference.sequence ? found : m_pending.end();
}

void claimant::begin(const claim_request& request, time_point now)
{
    const digest id = digest_of(request.id);
    const ownership held = ownership_of(id, request.body);
    if (held != ownership::none) {
        attach(request, held);
        return;
    }
    pending_claim pending;
    pending.request = request;
    pending.id = id;
    pending.home = membership::home_of(request.id, m_options.data_centres);
    pending.deadline = std::min(now + m_options.claim_timeout, request.deadline);
    ++m_claims_started;
    start(m_pending.emplace(id, std::move(pending)).first->second, now);
}

// Handles a request for an id that this instance already owns or is claiming. For a different body, a pending
// claim does not prove not_run: a job with that body may have run on another instance.
void claimant::attach(const claim_request& request, ownership held)
{
    if (held == ownership::granted_other) {
        m_out.decide(claim_refused{request.id, {verdict::not_run, refusal_reason::id_reused, {}, {}}});
    } else if (held == ownership::pending_other) {
        m_out.decide(claim_refused{request.id, {verdict::may_have_run, refusal_reason::id_reused, {}, {}}});
    } else {
        m_out.decide(follow_owner{request.id, m_self});
    }
}

ownership claimant::ownership_of(const digest& id, const digest& body) const
{
    const auto found = m_pending.find(id);
    if (found != m_pending.end()) {
        return found->second.request.body == body ? ownership::pending : ownership::pending_other;
    }
    const record* held = m_owned.find(id);
    if (held == nullptr) {
        return ownership::none;
    }
    return held->body == body || m_options.disabled.body_check ? ownership::granted
                                                               : ownership::granted_other;
}

void claimant::start(pending_claim& pending, time_point now)
{
    m_last_sequence = m_last_sequence.next();
    pending.sequence = m_last_sequence;
    pending.interval = m_options.initial_retry_interval;
    send_claim(pending);
    m_retries.push({std::min(now + pending.interval, pending.deadline), pending.id, pending.sequence});
}

void claimant::send_claim(const pending_claim& pending)
{
    const auto found = m_views.find(pending.home);
    if (found == m_views.end()) {
        return;
    }
    const home_view& home = found->second;
    const home_view::chain chain = home.live_chain(pending.id);
    if (chain.size > 0) {
        m_out.claims(home.member(chain.index[0]), pending.home, home.view.epoch, m_self,
                     {pending.id, pending.request.body, pending.sequence, issue_epoch(pending.request.id),
                      pending.supersedes});
    }
}

void claimant::on_grant(const claim_grant& body, time_point now)
{
    for (const auto& [reference, rerun] : body.claims) {
        const auto found = find_pending(reference);
        if (found != m_pending.end() && now < found->second.deadline) {
            record owned;
            owned.id = reference.id;
            owned.body = found->second.request.body;
            owned.sequence = reference.sequence.value();
            owned.recorded = ticks_of(now);
            m_owned.insert(owned);
            m_out.decide(claim_granted{found->second.request.id, true, rerun});
            m_pending.erase(found);
            continue;
        }
        const record* owned = m_owned.find(reference.id);
        if (owned != nullptr && owned->sequence == reference.sequence.value()) {
            continue;
        }
        ++m_late_grants;
        if (const auto given_up = m_given_up.extract(reference.id)) {
            m_out.decide(claim_granted{given_up.mapped().request.id, true, rerun});
        } else if (found == m_pending.end()) {
            send_release(body.home, reference);
        }
    }
}

void claimant::on_known(const claim_known& body, time_point now)
{
    for (const known_entry& entry : body.entries) {
        const auto found = find_pending(entry.asked);
        if (found != m_pending.end()) {
            on_conflicting_record(found, entry, now);
        }
    }
}

void claimant::on_conflicting_record(pending_map::iterator found, const known_entry& entry, time_point now)
{
    pending_claim& pending = found->second;
    const bool restarted = entry.owner.address == m_self.address && entry.owner != m_self;
    if (!restarted && !m_failed.contains(entry.owner)) {
        m_out.decide(follow_owner{pending.request.id, entry.owner});
        send_release(pending.home, entry.asked);
        m_pending.erase(found);
        return;
    }
    if (entry.body != pending.request.body) {
        refuse(found, verdict::may_have_run, refusal_reason::id_reused, false);
        return;
    }
    if (!pending.request.rerun_if_owner_lost) {
        refuse(found, verdict::may_have_run, refusal_reason::owner_lost, false);
        return;
    }
    if (pending.supersedes != entry.owner) {
        pending.supersedes = entry.owner;
        start(pending, now);
    }
}

void claimant::on_refuse(const claim_refuse& body, time_point /*now*/)
{
    for (const claim_reference& reference : body.claims) {
        const auto found = find_pending(reference);
        if (found == m_pending.end()) {
            continue;
        }
        found->second.answered = true;
        if (body.cause == refuse_cause::history_lost) {
            refuse(found, verdict::may_have_run, refusal_reason::history_lost, false);
        } else if (body.cause == refuse_cause::overloaded) {
            refuse(found, undecided_verdict(found->second), refusal_reason::overloaded, true);
        }
    }
}

void claimant::on_view(const membership::view& next, time_point /*now*/)
{
    home_view& known = m_views[next.data_centre];
    const bool newer = next.epoch > known.view.epoch ||
                       (next.epoch == known.view.epoch && next.settled && !known.view.settled);
    if (!newer) {
        return;
    }
    known = home_view(next, m_failed);
    for (const auto& [id, pending] : m_pending) {
        if (pending.home == next.data_centre) {
            send_claim(pending);
        }
    }
}

void claimant::on_instance_failed(const instance_id& instance, time_point /*now*/)
{
    if (!m_failed.insert(instance).second) {
        return;
    }
    for (auto& [name, home] : m_views) {
        home.mark_failed(instance);
        if (!home.has_member(instance)) {
            continue;
        }
        for (const auto& [id, pending] : m_pending) {
            if (pending.home == name) {
                send_claim(pending);
            }
        }
    }
}

void claimant::on_timer(time_point now)
{
    while (!m_retries.empty() && m_retries.top().due <= now) {
        const retry due = m_retries.top();
        m_retries.pop();
        const auto found = find_pending({due.id, due.sequence});
        if (found == m_pending.end()) {
            continue;
        }
        pending_claim& pending = found->second;
        if (now >= pending.deadline) {
            give_up(found);
            continue;
        }
        ++m_claims_retried;
        send_claim(pending);
        pending.interval = std::min(pending.interval * 2, m_options.max_retry_interval);
        const auto jitter = milliseconds(m_random.below(pending.interval.count() / 2 + 1));
        m_retries.push({std::min(now + pending.interval + jitter, pending.deadline), due.id, due.sequence});
    }
    const auto retention_ticks =
        static_cast<std::uint32_t>((m_options.retention + owned_retention_margin) / tick);
    m_owned.sweep(max_slots_swept_per_timer,
                  [&](const record& held) { return ticks_since(held, now) > retention_ticks; });
}

// Without a decision of the registrars, an earlier submission of the id may have run, unless the caller
// states that this is the first one.
verdict claimant::undecided_verdict(const pending_claim& pending) const
{
    const bool first = pending.request.first_submission && !pending.supersedes;
    return first || m_options.disabled.unknown_verdict ? verdict::not_run : verdict::may_have_run;
}

refusal_reason claimant::unavailable_reason(const pending_claim& pending) const
{
    if (pending.deadline == pending.request.deadline) {
        return refusal_reason::deadline_passed;
    }
    if (!pending.answered && pending.home != m_data_centre) {
        return refusal_reason::home_unreachable;
    }
    return !pending.answered && !m_platform_reachable ? refusal_reason::evidence_ambiguous
                                                      : refusal_reason::registrar_unavailable;
}

void claimant::give_up(pending_map::iterator found)
{
    const pending_claim& pending = found->second;
    const refusal_reason reason = unavailable_reason(pending);
    if (reason == refusal_reason::evidence_ambiguous && pending.request.run_if_ambiguous) {
        record owned;
        owned.id = pending.id;
        owned.body = pending.request.body;
        owned.sequence = pending.sequence.value();
        owned.recorded = ticks_of(pending.deadline);
        m_owned.insert(owned);
        m_out.decide(claim_granted{pending.request.id, false, true});
        m_pending.erase(found);
        return;
    }
    if (m_options.disabled.late_grant) {
        m_given_up.insert_or_assign(pending.id, pending);
    }
    refuse(found, undecided_verdict(pending), reason, true);
}

void claimant::refuse(pending_map::iterator found, verdict ran, refusal_reason reason, bool is_temporary)
{
    const pending_claim& pending = found->second;
    const auto hint = is_temporary ? std::optional(m_options.retry_hint) : std::nullopt;
    m_out.decide(claim_refused{pending.request.id, {ran, reason, hint, {}}});
    send_release(pending.home, {pending.id, pending.sequence});
    m_pending.erase(found);
}

void claimant::send_release(const data_centre_id& home, const claim_reference& reference)
{
    const auto found = m_views.find(home);
    if (found == m_views.end()) {
        return;
    }
    const home_view::chain chain = found->second.live_chain(reference.id);
    for (std::uint32_t i = 0; i < chain.size; ++i) {
        m_out.release(found->second.member(chain.index[i]), home, m_self, reference);
    }
}

void claimant::release(const submission_id& id)
{
    const digest key = digest_of(id);
    const auto found = m_pending.find(key);
    if (found != m_pending.end()) {
        send_release(found->second.home, {key, found->second.sequence});
        m_pending.erase(found);
    } else if (const record* owned = m_owned.find(key)) {
        send_release(membership::home_of(id, m_options.data_centres), {key, claim_sequence(owned->sequence)});
        m_owned.erase(key);
    }
}

ownership claimant::answer_follower(const submission_id& id, const digest& body)
{
    const digest key = digest_of(id);
    const ownership held = ownership_of(key, body);
    if (held == ownership::none) {
        // The follower received a record of a claim that was given up here. The release of that claim was
        // lost, or a registrar could not apply it yet, so it is sent again.
        send_release(membership::home_of(id, m_options.data_centres), {key, m_last_sequence});
    }
    return held;
}

void claimant::add_counts(registrar_counts& counts) const
{
    counts.owned = m_owned.size();
    counts.owned_bytes = m_owned.bytes();
    counts.pending_claims = m_pending.size();
    counts.claims_started = m_claims_started;
    counts.claims_retried = m_claims_retried;
    counts.late_grants = m_late_grants;
}

}  // namespace poplarshed::registry
