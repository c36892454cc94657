#pragma once

#include <vector>

#include "wire/wire.h"

namespace poplarshed::wire::test {

inline instance_id sample_instance(std::uint64_t run)
{
    return {endpoint("127.0.0.1:7000"), incarnation(0xfedcba9876543210U + run)};
}

/// Messages of the registry group; every number differs, so that exchanged fields are seen.
inline std::vector<message> sample_claims()
{
    using namespace registry;
    const data_centre_id home("ollur");
    const view_epoch epoch(41);
    const claim_reference reference{digest::of("id"), claim_sequence(5)};
    const claim_entry entry{digest::of("id"), digest::of("body"), claim_sequence(6), view_epoch(39),
                            std::nullopt};
    claim_entry rerun = entry;
    rerun.supersedes = sample_instance(3);
    const claim_record record{digest::of("id"),  digest::of("body"), sample_instance(1),
                              claim_sequence(8), sample_instance(4), milliseconds(1500)};
    claim_record first = record;
    first.replaced.reset();
    const known_entry known{reference, digest::of("other"), sample_instance(2), claim_sequence(7)};
    return {
        claim{home, epoch, sample_instance(1), {entry, rerun}},
        claim_forward{home, epoch, sample_instance(1), {rerun}},
        claim_grant{home, epoch, {{reference, true}, {reference, false}}},
        claim_known{home, epoch, {known}},
        claim_refuse{home, epoch, refuse_cause::overloaded, {reference}},
        records_sync{home, epoch, 9, {record, first}},
        sync_ack{home, epoch, 9},
        claim_release{home, sample_instance(1), {reference}},
    };
}

/// Messages about leased workers; every number differs.
inline std::vector<message> sample_pool_messages()
{
    using namespace workers;
    job_offer offer;
    offer.number = offer_number(8);
    offer.echoed_clock = milliseconds(20);
    offer.job = job_id("5c0e7a21d94b36f8");
    offer.owner = endpoint("127.0.0.1:1");
    offer.pool = pool_id("ollur/desk/0");
    offer.service = service_id("desk");
    offer.payload = std::string("a\0b", 3);
    offer.steps = {{3, {14'000, 64, 1}, milliseconds(60), {}, "r1", "a", 2},
                   {1, {1, 2, 0}, milliseconds(7), {0}, "", "", 0}};
    offer.priority = 2;
    offer.max_attempts = 4;
    offer.age = milliseconds(5);
    offer.objective = milliseconds(156);
    offer.deadline = milliseconds(2300);
    offer.returns = 1;
    offer.may_have_run = true;
    offer.uncertain_tasks = {1, 2};
    offer.uncertain_for = milliseconds(900);
    offer.done_tasks = {0};
    offer.order = owner_order::only;
    offer.attempt = offer_number(6);
    offer.losses = {{1, 2, worker_id("i-1"), 3, loss_cause::crash, true},
                    {1, 2, worker_id("i-2"), 4, loss_cause::survived}};
    const pool_load load{offer.pool, offer.service, fencing_token(9), 1, 2, 3, 4, 5};
    return {
        offer,
        job_progress{offer.job, {3, 4}},
        job_result{offer.job,
                   endpoint("127.0.0.1:2"),
                   job_end::not_held,
                   refusal_reason::timed_out,
                   milliseconds(8),
                   false,
                   {1},
                   offer_number(9)},
        job_cancel{offer.job, endpoint("127.0.0.1:3"), offer_number(10), true},
        instance_status{endpoint("127.0.0.1:4"),
                        data_centre_id("ollur"),
                        250,
                        true,
                        true,
                        6,
                        7,
                        {load},
                        milliseconds(150),
                        true,
                        milliseconds(15),
                        milliseconds(16),
                        {offer_number(17), offer_number(18)},
                        offer_number(19),
                        true},
        directory_pull{endpoint("127.0.0.1:5"), 11},
        directory_push{endpoint("127.0.0.1:4"), 11, 12, true, {{"servers/i-1", 13, "{}"}, {"k", 14, ""}}},
        directory_pull{endpoint("127.0.0.1:5"), 0, true},
        directory_push{endpoint("127.0.0.1:4"), 0, 0, false, {{"op/config", 13, "{}"}}, true},
        job_losses{offer.job, {{0, 5, worker_id("i-3"), 6, loss_cause::unknown}}},
    };
}

/// One message of each kind, with every optional field present and absent.
inline std::vector<message> sample_messages()
{
    using namespace std::chrono_literals;
    const instance_id sender = sample_instance(0);
    const refusal cause{verdict::may_have_run, refusal_reason::owner_lost, 250ms, "peer is gone"};
    const submission_id id("ollur.3.a1");
    hello greeting{protocol_version, data_centre_id("ollur"), sender, {}};
    greeting.nonce.fill(7);
    const membership::view view{data_centre_id("ollur"),
                                view_epoch(4),
                                {{sender, data_centre_id("punkunnam")}},
                                view_epoch(3),
                                77,
                                true};
    const membership::heartbeat beat{data_centre_id("ollur"),
                                     {{data_centre_id("punkunnam"), view_epoch(4), view_epoch(3)}},
                                     {sender},
                                     configuration_version(9),
                                     membership::drain_state::draining,
                                     12};
    std::vector<message> all{
        greeting,
        hello_proof{},
        job_follow{id, digest::of("body")},
        job_answer{id, dispatch::job_complete{{"one", "", std::string("a\0b", 3)}}},
        job_answer{id, dispatch::job_complete{}},
        job_answer{id, dispatch::job_failed{cause, 17U}},
        job_answer{id, dispatch::job_failed{cause, std::nullopt}},
        job_answer{id, dispatch::job_refused{{}}},
        bundle_pull{configuration_version(12)},
        bundle_push{configuration_version(12), "{\"version\":12}"},
        beat,
        membership::heartbeat{},
        membership::view_offer{view},
        dispatch::slot_demand{
            1, 6, {{service_id("hold"), 40, milliseconds(300)}}, 3, 60, {{workspace_id("booking"), 44}}},
        dispatch::slot_grant{2, 6, true, {{endpoint("127.0.0.1:9000"), 4}}},
    };
    for (message& value : sample_claims()) {
        all.push_back(std::move(value));
    }
    for (message& value : sample_pool_messages()) {
        all.push_back(std::move(value));
    }
    return all;
}

}  // namespace poplarshed::wire::test
