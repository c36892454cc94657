#include "registry/record_keeper.h"

namespace poplarshed::registry {

namespace {

constexpr std::size_t max_slots_swept_per_timer = 8'192;
constexpr std::uint64_t epoch_mask = (1U << 20U) - 1;

claim_reference reference_to(const claim_entry& entry)
{
    return {entry.id, entry.sequence};
}

refuse_cause cause_of(const std::optional<refuse_cause>& epoch_refusal)
{
    return epoch_refusal.value_or(refuse_cause::not_registrar);
}

}  // namespace

record_keeper::record_keeper(instance_id self, const registrar_options& options, outbox& out)
    : m_self(std::move(self)), m_options(options), m_out(out)
{}

record_keeper::home* record_keeper::find_home(const data_centre_id& name)
{
    const auto found = m_homes.find(name);
    return found == m_homes.end() ? nullptr : &found->second;
}

// Only registrars whose current view has the epoch of the claim decide it. Two successive chains of an id
// share a registrar, and that registrar takes part in one epoch at a time, so they cannot both grant the id.
std::optional<refuse_cause> record_keeper::check_epoch(const home* state, view_epoch epoch,
                                                       view_epoch issued) const
{
    if (state == nullptr) {
        return refuse_cause::other_epoch;
    }
    if (m_options.disabled.epoch_check) {
        return std::nullopt;
    }
    const view_epoch current = state->current.view.epoch;
    if (epoch != current || issued > current) {
        return refuse_cause::other_epoch;
    }
    return std::nullopt;
}

void record_keeper::on_claim(const claim& request, time_point now)
{
    for (const claim_entry& entry : request.entries) {
        handle_as_head(request, entry, now);
    }
}

void record_keeper::on_forward(const instance_id& from, const claim_forward& request, time_point now)
{
    for (const claim_entry& entry : request.entries) {
        handle_as_tail(from, request, entry, now);
    }
}

void record_keeper::handle_as_head(const claim& request, const claim_entry& entry, time_point now)
{
    home* state = find_home(request.home);
    const auto refused = check_epoch(state, request.epoch, entry.issued);
    const auto chain = state == nullptr ? home_view::chain{} : state->current.live_chain(entry.id);
    if (refused || chain.size == 0 || state->current.member(chain.index[0]) != m_self) {
        const view_epoch epoch = state == nullptr ? view_epoch() : state->current.view.epoch;
        m_out.refuse(request.owner, request.home, epoch, cause_of(refused), reference_to(entry));
        return;
    }
    const claim_decision decision = decide(*state, request.owner, entry, now);
    if (decision != claim_decision::accepted) {
        answer_negative(*state, request.owner, entry, decision);
    } else if (chain.size == 1 || m_options.disabled.tail) {
        grant(*state, request.owner, entry);
    } else {
        m_out.forward(state->current.member(chain.index[1]), request.home, state->current.view.epoch,
                      request.owner, entry);
    }
}

void record_keeper::handle_as_tail(const instance_id& from, const claim_forward& request,
                                   const claim_entry& entry, time_point now)
{
    home* state = find_home(request.home);
    const auto refused = check_epoch(state, request.epoch, entry.issued);
    const auto chain = state == nullptr ? home_view::chain{} : state->current.live_chain(entry.id);
    const bool roles_match = chain.size == 2 && state->current.member(chain.index[1]) == m_self &&
                             state->current.member(chain.index[0]) == from;
    if (refused || !(roles_match || m_options.disabled.epoch_check) || state == nullptr) {
        const view_epoch epoch = state == nullptr ? view_epoch() : state->current.view.epoch;
        m_out.refuse(request.owner, request.home, epoch, cause_of(refused), reference_to(entry));
        return;
    }
    const claim_decision decision = decide(*state, request.owner, entry, now);
    if (decision != claim_decision::accepted) {
        answer_negative(*state, request.owner, entry, decision);
    } else {
        grant(*state, request.owner, entry);
    }
}

void record_keeper::grant(home& state, const instance_id& owner, const claim_entry& entry)
{
    const record* held = state.records.find(entry.id);
    const bool rerun = held != nullptr && held->replaced != record::no_owner;
    const membership::view& view = state.current.view;
    m_out.grant(owner, view.data_centre, view.epoch, {reference_to(entry), rerun});
}

void record_keeper::answer_negative(home& state, const instance_id& owner, const claim_entry& entry,
                                    claim_decision decision)
{
    const membership::view& view = state.current.view;
    const auto refuse = [&](refuse_cause cause) {
        m_out.refuse(owner, view.data_centre, view.epoch, cause, reference_to(entry));
    };
    switch (decision) {
        case claim_decision::conflict: {
            const record& held = *state.records.find(entry.id);
            m_out.known(
                owner, view.data_centre, view.epoch,
                {reference_to(entry), held.body, m_owners.at(held.owner), claim_sequence(held.sequence)});
            break;
        }
        case claim_decision::unsettled:
            refuse(refuse_cause::unsettled);
            break;
        case claim_decision::history_lost:
            refuse(refuse_cause::history_lost);
            break;
        case claim_decision::overloaded:
            refuse(refuse_cause::overloaded);
            break;
        case claim_decision::accepted:
        case claim_decision::outdated:
            break;
    }
}

std::uint16_t record_keeper::replaced_owner_number(const claim_entry& entry)
{
    return entry.supersedes ? m_owners.number_of(*entry.supersedes).value_or(record::no_owner)
                            : record::no_owner;
}

record_keeper::claim_decision record_keeper::decide(home& state, const instance_id& owner,
                                                    const claim_entry& entry, time_point now)
{
    const auto number = m_owners.number_of(owner);
    if (!number) {
        return claim_decision::overloaded;
    }
    record* held = state.records.find(entry.id);
    if (is_history_lost(state, entry, now)) {
        return held != nullptr && held->owner != *number ? claim_decision::conflict
                                                         : claim_decision::history_lost;
    }
    if (held != nullptr) {
        return decide_against_record(state, *held, *number, entry, now);
    }
    if (state.records.size() >= m_options.max_records) {
        return claim_decision::overloaded;
    }
    record added;
    added.id = entry.id;
    added.body = entry.body;
    added.sequence = entry.sequence.value();
    added.owner = *number;
    added.replaced = replaced_owner_number(entry);
    added.epoch = state.current.view.epoch.value() & epoch_mask;
    added.recorded = ticks_of(now);
    state.records.insert(added);
    return claim_decision::accepted;
}

// Makes the failed owner the owner of the record again: it may have run the job, so a later claim must not be
// granted as if the id were unused.
void record_keeper::restore_failed_owner(record& held)
{
    held.owner = held.replaced;
    held.replaced = record::no_owner;
    held.sequence = 0;
}

record_keeper::claim_decision record_keeper::decide_against_record(home& state, record& held,
                                                                   std::uint16_t owner,
                                                                   const claim_entry& entry, time_point now)
{
    if (held.owner == owner) {
        if (held.sequence > entry.sequence.value()) {
            return claim_decision::outdated;
        }
        // The failed owner may have run the recorded body, so a claim with another body must not replace it.
        if (held.replaced != record::no_owner && held.body != entry.body) {
            if (is_frozen(state, held)) {
                return claim_decision::unsettled;
            }
            restore_failed_owner(held);
            return claim_decision::conflict;
        }
        // An owner sends a new claim only after it gave up the old one. The record keeps its older epoch, so
        // it stays frozen while a member may still receive its earlier state.
        if (held.sequence < entry.sequence.value()) {
            held.body = entry.body;
            held.sequence = entry.sequence.value();
            held.recorded = ticks_of(now);
            held.replaced = entry.supersedes ? replaced_owner_number(entry) : held.replaced;
        }
        return claim_decision::accepted;
    }
    const bool replaces = entry.supersedes && *entry.supersedes == m_owners.at(held.owner);
    if (!replaces || held.body != entry.body) {
        return claim_decision::conflict;
    }
    if (is_frozen(state, held)) {
        return claim_decision::unsettled;
    }
    held.replaced = held.owner;
    held.owner = owner;
    held.sequence = entry.sequence.value();
    held.epoch = state.current.view.epoch.value() & epoch_mask;
    held.recorded = ticks_of(now);
    return claim_decision::accepted;
}

// Until the view has settled, a member that joins the chain may still receive the state that a record had
// before the view change. If the record were removed or replaced in the meantime, its old state would
// reappear on that member and hide the claim that replaced it.
bool record_keeper::is_frozen(const home& state, const record& held) const
{
    return !m_options.disabled.freeze && !state.current.view.settled &&
           held.epoch < state.current.view.epoch.value();
}

bool record_keeper::is_history_lost(const home& state, const claim_entry& entry, time_point now) const
{
    const home_view& current = state.current;
    return entry.issued < current.view.amnesia_epoch && now - state.amnesia_since <= m_options.retention;
}

void record_keeper::on_release(const instance_id& from, const claim_release& body)
{
    home* state = find_home(body.home);
    const auto owner = m_owners.number_of(body.owner);
    if (state == nullptr || !owner || from != body.owner) {
        return;
    }
    for (const claim_reference& reference : body.claims) {
        record* held = state->records.find(reference.id);
        if (held == nullptr || held->owner != *owner || held->sequence > reference.sequence.value() ||
            is_frozen(*state, *held)) {
            continue;
        }
        if (held->replaced == record::no_owner) {
            state->records.erase(reference.id);
        } else {
            restore_failed_owner(*held);
        }
    }
}

void record_keeper::on_member_skipped(const data_centre_id& name, view_epoch epoch,
                                      const instance_id& instance)
{
    home* state = find_home(name);
    if (state != nullptr && state->current.view.epoch == epoch) {
        state->current.mark_failed(instance);
    }
}

void record_keeper::on_timer(time_point now)
{
    const std::uint32_t retention_ticks = static_cast<std::uint32_t>(m_options.retention / tick);
    for (auto& entry : m_homes) {
        home& state = entry.second;
        send_pending_chunks(entry.first, state, now);
        state.records.sweep(max_slots_swept_per_timer, [&](const record& held) {
            return ticks_since(held, now) > retention_ticks && !is_frozen(state, held);
        });
    }
}

std::size_t record_keeper::records() const
{
    std::size_t sum = 0;
    for (const auto& [name, state] : m_homes) {
        sum += state.records.size();
    }
    return sum;
}

std::size_t record_keeper::bytes() const
{
    std::size_t sum = 0;
    for (const auto& [name, state] : m_homes) {
        sum += state.records.bytes();
    }
    return sum;
}

}  // namespace poplarshed::registry
