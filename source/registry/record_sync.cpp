#include <algorithm>

#include "registry/record_keeper.h"

namespace poplarshed::registry {

void record_keeper::on_view(const membership::view& next, time_point now)
{
    home& state = m_homes[next.data_centre];
    const membership::view& known = state.current.view;
    if (next.epoch < known.epoch || (next.epoch == known.epoch && (known.settled || !next.settled))) {
        return;
    }
    if (next.amnesia_epoch != known.amnesia_epoch) {
        state.amnesia_since = now;
    }
    if (next.epoch == known.epoch) {
        state.current.view.settled = true;
        drop_unassigned_records(state);
        return;
    }
    const home_view before = std::exchange(state.current, home_view(next, {}));
    state.outgoing.clear();
    state.received.clear();
    state.synced_reported = false;
    change_chains(state, before);
    send_pending_chunks(next.data_centre, state, now);
}

void record_keeper::change_chains(home& state, const home_view& before)
{
    const membership::view& view = state.current.view;
    const bool amnesia = view.amnesia_epoch == view.epoch;
    // After a missed epoch the records are stale: that view settled without updates from this instance.
    const bool followed = view.epoch == before.view.epoch.next() || amnesia;
    if (!state.current.has_member(m_self) || !followed) {
        state.records.clear();
        return;
    }
    state.records.erase_if([&](const record& held) {
        const bool is_current = amnesia || before.in_chain(before.full_chain(held.id), m_self) ||
                                held.epoch == before.view.epoch.value();
        if (is_current && !m_options.disabled.sync) {
            plan_sync(state, before, held);
        }
        return !is_current;
    });
}

// The member that stays in the chain of an id holds every claim that may have been granted, so it alone sends
// the record to the member that joins the chain. In an amnesia epoch (records may have been lost) no member
// is known to hold all claims, so every member sends its records.
void record_keeper::plan_sync(home& state, const home_view& before, const record& held)
{
    const bool amnesia = state.current.view.amnesia_epoch == state.current.view.epoch;
    const home_view::chain old_chain = before.full_chain(held.id);
    const home_view::chain new_chain = state.current.full_chain(held.id);
    const bool remains_in_chain =
        before.in_chain(old_chain, m_self) && state.current.in_chain(new_chain, m_self);
    if (!remains_in_chain && !amnesia) {
        return;
    }
    for (std::uint32_t i = 0; i < new_chain.size; ++i) {
        const instance_id& registrar = state.current.member(new_chain.index[i]);
        if (registrar != m_self && (amnesia || !before.in_chain(old_chain, registrar))) {
            state.outgoing[registrar].ids.push_back(held.id);
        }
    }
}

void record_keeper::send_pending_chunks(const data_centre_id& name, home& state, time_point now)
{
    for (auto& [to, sync] : state.outgoing) {
        for (auto& [chunk, due] : sync.unacknowledged) {
            if (now >= due) {
                due = now + m_options.sync_retry;
                send_chunk(name, state, to, chunk, now);
            }
        }
        const std::size_t chunks = (sync.ids.size() + m_options.sync_chunk - 1) / m_options.sync_chunk;
        while (sync.next_chunk < chunks && sync.unacknowledged.size() < m_options.sync_window) {
            sync.unacknowledged.emplace(sync.next_chunk, now + m_options.sync_retry);
            send_chunk(name, state, to, sync.next_chunk, now);
            ++sync.next_chunk;
        }
    }
    std::erase_if(state.outgoing, [this](const auto& entry) {
        return entry.second.unacknowledged.empty() &&
               entry.second.next_chunk * m_options.sync_chunk >= entry.second.ids.size();
    });
    if (state.outgoing.empty() && !state.synced_reported && state.current.has_member(m_self)) {
        state.synced_reported = true;
        m_out.decide(records_synced{name, state.current.view.epoch});
    }
}

std::optional<instance_id> record_keeper::replaced_owner(const record& held) const
{
    return held.replaced == record::no_owner ? std::nullopt : std::optional(m_owners.at(held.replaced));
}

void record_keeper::send_chunk(const data_centre_id& name, home& state, const instance_id& to,
                               std::uint32_t chunk, time_point now)
{
    const std::vector<digest>& ids = state.outgoing[to].ids;
    const std::size_t begin = chunk * m_options.sync_chunk;
    const std::size_t end = std::min(begin + m_options.sync_chunk, ids.size());
    records_sync body{name, state.current.view.epoch, chunk, {}};
    for (std::size_t i = begin; i < end; ++i) {
        const record* held = state.records.find(ids[i]);
        if (held != nullptr) {
            body.records.push_back({held->id, held->body, m_owners.at(held->owner),
                                    claim_sequence(held->sequence), replaced_owner(*held),
                                    ticks_since(*held, now) * tick});
        }
    }
    m_records_synced += body.records.size();
    m_out.send(to, std::move(body));
}

void record_keeper::on_sync(const instance_id& from, const records_sync& body, time_point now)
{
    home* state = find_home(body.home);
    if (state == nullptr || body.epoch != state->current.view.epoch || !state->current.has_member(from)) {
        return;
    }
    // Only the first copy of a chunk is merged: a duplicate may be older than later changes of its records.
    if (!state->current.view.settled && state->received.emplace(from, body.chunk).second) {
        for (const claim_record& received : body.records) {
            merge(*state, received, now);
        }
    }
    m_out.send(from, sync_ack{body.home, body.epoch, body.chunk});
}

void record_keeper::merge(home& state, const claim_record& received, time_point now)
{
    const auto owner = m_owners.number_of(received.owner);
    if (!owner) {
        return;
    }
    const membership::view& view = state.current.view;
    record taken;
    taken.id = received.id;
    taken.body = received.body;
    taken.sequence = received.sequence.value();
    taken.owner = *owner;
    taken.epoch = view.epoch.value() - 1;
    taken.recorded = ticks_of(now - received.age);
    if (received.replaced) {
        taken.replaced = m_owners.number_of(*received.replaced).value_or(record::no_owner);
    }
    record* held = state.records.find(received.id);
    if (held == nullptr) {
        state.records.insert(taken);
    } else if (held->owner == taken.owner) {
        held->epoch = std::min<std::uint64_t>(held->epoch, taken.epoch);
        held->replaced = held->replaced == record::no_owner ? taken.replaced : held->replaced;
        if (held->sequence < taken.sequence) {
            *held = taken;
        }
    } else if (view.amnesia_epoch != view.epoch) {
        *held = taken;
    }
}

void record_keeper::on_ack(const instance_id& from, const sync_ack& body, time_point now)
{
    home* state = find_home(body.home);
    if (state == nullptr || body.epoch != state->current.view.epoch) {
        return;
    }
    const auto found = state->outgoing.find(from);
    if (found != state->outgoing.end()) {
        found->second.unacknowledged.erase(body.chunk);
        send_pending_chunks(body.home, *state, now);
    }
}

// In a settled view the registrars of each id hold its record; copies on other members would become stale.
void record_keeper::drop_unassigned_records(home& state)
{
    const home_view& current = state.current;
    state.records.erase_if([&](const record& held) {
        return held.epoch < current.view.epoch.value() &&
               !current.in_chain(current.full_chain(held.id), m_self);
    });
}

}  // namespace poplarshed::registry
