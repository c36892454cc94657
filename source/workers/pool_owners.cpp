#include <algorithm>
#include <utility>

#include "workers/pool.h"

namespace poplarshed::workers {

bool pool::order_owners(time_point now, const endpoint& owner, const job_offer& offer)
{
    const time_point arrived = now - offer.age;
    const auto found = m_admitted_owners.find(offer.job);
    if (found != m_admitted_owners.end()) {
        admitted_owner& admitted = found->second;
        const bool same =
            admitted.owner == owner && admitted.attempt == offer.attempt && !admitted.runs_ended_at;
        if (!same) {
            const bool newer = arrived > admitted.arrived;
            if (newer) {
                notify_superseded(admitted.owner, offer.job, admitted.attempt);
            } else {
                notify_superseded(owner, offer.job, offer.number);
            }
            return !newer;
        }
        admitted.number = offer.number;
        if (offer.order != owner_order::only) {
            m_admitted_owners.erase(found);
            return false;
        }
    }
    if (offer.order != owner_order::only || may_run_here(offer.job)) {
        return false;
    }
    admit_owner(owner, offer, arrived);
    record(decision::owner_admitted, offer.job, {}, owner.value());
    job_result returned;
    returned.job = offer.job;
    returned.holder = m_options.own_address;
    returned.end = job_end::returned;
    returned.may_have_run = offer.may_have_run;
    returned.number = offer.number;
    notify_owner(owner, std::move(returned));
    return true;
}

void pool::notify_superseded(const endpoint& owner, const job_id& id, offer_number number)
{
    record(decision::owner_superseded, id, {}, owner.value());
    job_result result;
    result.job = id;
    result.holder = m_options.own_address;
    result.end = job_end::gave_up;
    result.reason = refusal_reason::cancelled;
    result.number = number;
    notify_owner(owner, std::move(result));
}

void pool::pass_on(const job_record& job)
{
    if (job.offer.order == owner_order::here) {
        admit_owner(job.owner, job.offer, job.arrived);
    }
    notify_owner(job.owner, make_result(job, job_end::returned));
}

void pool::admit_owner(const endpoint& owner, const job_offer& offer, time_point arrived)
{
    m_admitted_owners.insert_or_assign(offer.job, admitted_owner{owner, offer.attempt, offer.number, arrived,
                                                                 arrived + offer.deadline, std::nullopt});
}

void pool::release_owner(time_point now, const job_id& id, admitted_owner& admitted, std::string_view cause)
{
    if (!admitted.runs_ended_at) {
        admitted.runs_ended_at = now + reassignment_delay;
        record(decision::owner_released, id, {}, std::string(cause));
    }
}

void pool::release_withdrawn_owners(time_point now, const active_offers& offers)
{
    for (auto& [id, admitted] : m_admitted_owners) {
        if (admitted.owner != offers.owner || offers.last < admitted.number) {
            continue;
        }
        if (!std::binary_search(offers.numbers.begin(), offers.numbers.end(), admitted.attempt)) {
            release_owner(now, id, admitted, "withdrawn");
        } else if (admitted.runs_ended_at && !m_jobs.contains(id)) {
            // The owner is back, and there is no other one.
            admitted.runs_ended_at.reset();
        } else if (admitted.runs_ended_at) {
            notify_superseded(admitted.owner, id, admitted.attempt);
        }
    }
}

void pool::on_owner_timed_out(time_point now, const endpoint& owner)
{
    for (auto& [id, admitted] : m_admitted_owners) {
        if (admitted.owner == owner && !admitted.runs_ended_at) {
            release_owner(now, id, admitted, "owner lost");
        }
    }
}

void pool::forget_released_owners(time_point now)
{
    std::erase_if(m_admitted_owners, [now](const auto& entry) {
        const admitted_owner& admitted = entry.second;
        return now >= admitted.runs_ended_at.value_or(admitted.deadline_at + reassignment_delay);
    });
}

bool pool::may_run_here(const job_id& id) const
{
    const auto is_of_job = [&id](const auto& entry) { return entry.first.job == id; };
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& worker) {
        const worker_record& known = worker.second;
        return std::any_of(known.runs.begin(), known.runs.end(), is_of_job) ||
               std::any_of(known.abandoned.begin(), known.abandoned.end(), is_of_job);
    });
}

bool pool::has_other_owner(const job_record& job) const
{
    return m_admitted_owners.contains(job.offer.job);
}

}  // namespace poplarshed::workers
