#include "wire/conversion.h"

namespace poplarshed::wire {

namespace {

constexpr std::int64_t max_duration_ms = 86'400'000;
// A job has at most this many tasks; see the limits of the caller interface.
constexpr std::uint32_t max_tasks = 100'000;

std::vector<std::uint32_t> numbers(const flatbuffers::Vector<std::uint32_t>* values)
{
    return values == nullptr ? std::vector<std::uint32_t>()
                             : std::vector<std::uint32_t>(values->begin(), values->end());
}

flatbuffers::Offset<fb::task_step> pack(builder& out, const workers::job_step& value)
{
    const auto after = out.CreateVector(value.after);
    const auto preferred = out.CreateString(value.preferred_label);
    const auto required = out.CreateString(value.required_label);
    return fb::Createtask_step(out, value.tasks, value.need.cpu_milli, value.need.memory_mb,
                               value.need.accelerators, value.estimate.count(), after, preferred, required,
                               value.max_per_worker);
}

workers::job_step unpack(const fb::task_step& table)
{
    return {table.tasks(),
            {table.cpu_milli(), table.memory_mb(), table.accelerators()},
            milliseconds(table.estimate_ms()),
            numbers(table.after()),
            text(table.preferred_label()),
            text(table.required_label()),
            table.max_per_worker()};
}

// Steps may only wait for earlier ones.
bool valid(const std::vector<workers::job_step>& steps)
{
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const workers::job_step& step = steps[i];
        tasks += step.tasks;
        if (step.tasks == 0 || tasks > max_tasks || step.estimate.count() < 0 ||
            step.estimate.count() > max_duration_ms || step.need.cpu_milli < 0 || step.need.memory_mb < 0 ||
            step.need.accelerators < 0) {
            return false;
        }
        for (const std::uint32_t earlier : step.after) {
            if (earlier >= i) {
                return false;
            }
        }
    }
    return !steps.empty();
}

flatbuffers::Offset<fb::pool_figures> pack(builder& out, const workers::pool_load& value)
{
    const auto pool = wire::pack(out, value.pool);
    const auto service = wire::pack(out, value.service);
    return fb::Createpool_figures(out, pool, service, value.token.value(), value.capacity_cpu, value.free_cpu,
                                  value.running_cpu_ms, value.waiting_cpu_ms, value.overdue_cpu_ms);
}

workers::pool_load unpack(const fb::pool_figures& table)
{
    return {workers::pool_id(table.pool()->str()),
            service_id(table.service()->str()),
            workers::fencing_token(table.token()),
            table.capacity_cpu(),
            table.free_cpu(),
            table.running_cpu_ms(),
            table.waiting_cpu_ms(),
            table.overdue_cpu_ms()};
}

flatbuffers::Offset<fb::task_loss> pack(builder& out, const workers::task_loss& value)
{
    return fb::Createtask_loss(out, value.step, value.index, wire::pack(out, value.worker), value.incarnation,
                               static_cast<std::uint8_t>(value.cause), value.alone);
}

using loss_tables = flatbuffers::Vector<flatbuffers::Offset<fb::task_loss>>;

/// Losses of a verified vector, ascending; none where it is absent. A cause that this release does not know
/// counts as unknown.
std::vector<workers::task_loss> unpack_losses(const loss_tables* tables)
{
    std::vector<workers::task_loss> losses;
    if (tables != nullptr) {
        workers::merge_losses(
            losses, unpack_each(*tables, [](const fb::task_loss& item) {
                const bool known = item.cause() < workers::loss_cause_count;
                return workers::task_loss{
                    item.step(),
                    item.index(),
                    workers::worker_id(item.worker()->str()),
                    item.incarnation(),
                    known ? static_cast<workers::loss_cause>(item.cause()) : workers::loss_cause::unknown,
                    item.alone()};
            }));
    }
    return losses;
}

}  // namespace

flatbuffers::Offset<fb::pool_offer> pack(builder& out, const workers::job_offer& value)
{
    const auto job = pack(out, value.job);
    const auto pool = pack(out, value.pool);
    const auto service = pack(out, value.service);
    const auto payload = out.CreateString(value.payload);
    const auto steps = pack_each(out, value.steps, [&out](const auto& item) { return pack(out, item); });
    const auto done = out.CreateVector(value.done_tasks);
    const auto owner = pack(out, value.owner);
    const auto uncertain = out.CreateVector(value.uncertain_tasks);
    const auto losses = pack_each(out, value.losses, [&out](const auto& item) { return pack(out, item); });
    return fb::Createpool_offer(out, job, pool, service, payload, steps, value.priority, value.max_attempts,
                                value.age.count(), value.objective.count(), value.deadline.count(),
                                value.returns, value.may_have_run, done, owner, uncertain,
                                value.uncertain_for.count(), value.number.value(), value.echoed_clock.count(),
                                static_cast<std::uint8_t>(value.order), value.attempt.value(), losses);
}

std::optional<workers::job_offer> unpack(const fb::pool_offer& table)
{
    workers::job_offer value;
    value.job = workers::job_id(table.job()->str());
    value.owner = endpoint(table.owner()->str());
    value.pool = workers::pool_id(table.pool()->str());
    value.service = service_id(table.service()->str());
    value.payload = table.payload()->str();
    value.steps = unpack_each(*table.steps(), [](const auto& item) { return unpack(item); });
    value.priority = table.priority();
    value.max_attempts = table.max_attempts();
    value.age = milliseconds(table.age_ms());
    value.objective = milliseconds(table.objective_ms());
    value.deadline = milliseconds(table.deadline_ms());
    value.returns = table.returns();
    value.may_have_run = table.may_have_run();
    value.done_tasks = numbers(table.done_tasks());
    value.uncertain_tasks = numbers(table.uncertain_tasks());
    value.uncertain_for = milliseconds(table.uncertain_for_ms());
    value.number = workers::offer_number(table.number());
    value.echoed_clock = milliseconds(table.echo_ms());
    if (table.order() >= workers::owner_order_count) {
        return std::nullopt;
    }
    value.order = static_cast<workers::owner_order>(table.order());
    value.attempt = workers::offer_number(table.attempt());
    value.losses = unpack_losses(table.losses());
    return valid(value.steps) ? std::optional(std::move(value)) : std::nullopt;
}

flatbuffers::Offset<fb::pool_progress> pack(builder& out, const workers::job_progress& value)
{
    const auto job = pack(out, value.job);
    return fb::Createpool_progress(out, job, out.CreateVector(value.done_tasks));
}

std::optional<workers::job_progress> unpack(const fb::pool_progress& table)
{
    return workers::job_progress{workers::job_id(table.job()->str()), numbers(table.done_tasks())};
}

flatbuffers::Offset<fb::pool_result> pack(builder& out, const workers::job_result& value)
{
    const auto job = pack(out, value.job);
    const auto holder = pack(out, value.holder);
    return fb::Createpool_result(out, job, static_cast<std::uint8_t>(value.end),
                                 static_cast<std::uint8_t>(value.reason), value.retry_after.count(), holder,
                                 value.may_have_run, out.CreateVector(value.uncertain_tasks),
                                 value.number.value());
}

std::optional<workers::job_result> unpack(const fb::pool_result& table)
{
    if (table.end() >= workers::job_end_count || table.reason() >= all_refusal_reasons().size()) {
        return std::nullopt;
    }
    return workers::job_result{
        workers::job_id(table.job()->str()),        endpoint(table.holder()->str()),
        static_cast<workers::job_end>(table.end()), all_refusal_reasons()[table.reason()],
        milliseconds(table.retry_after_ms()),       table.may_have_run(),
        numbers(table.uncertain_tasks()),           workers::offer_number(table.number())};
}

flatbuffers::Offset<fb::pool_cancel> pack(builder& out, const workers::job_cancel& value)
{
    const auto job = pack(out, value.job);
    return fb::Createpool_cancel(out, job, pack(out, value.owner), value.number.value(), value.nothing_runs);
}

std::optional<workers::job_cancel> unpack(const fb::pool_cancel& table)
{
    return workers::job_cancel{workers::job_id(table.job()->str()), endpoint(table.owner()->str()),
                               workers::offer_number(table.number()), table.nothing_runs()};
}

flatbuffers::Offset<fb::instance_status> pack(builder& out, const workers::instance_status& value)
{
    const auto address = pack(out, value.address);
    const auto data_centre = pack(out, value.data_centre);
    const auto pools = pack_each(out, value.pools, [&out](const auto& item) { return pack(out, item); });
    std::vector<std::uint64_t> offers;
    offers.reserve(value.offers.size());
    for (const workers::offer_number& number : value.offers) {
        offers.push_back(number.value());
    }
    return fb::Createinstance_status(out, address, data_centre, value.leaving, value.directory_current,
                                     value.configuration_version, value.directory_sequence, pools,
                                     value.cpu_milli, value.next_status_within.count(),
                                     value.directory_source, value.clock.count(), value.echoed_clock.count(),
                                     out.CreateVector(offers), value.last_offer.value(), value.orders_owners);
}

std::optional<workers::instance_status> unpack(const fb::instance_status& table)
{
    std::vector<workers::offer_number> offers;
    if (table.offers() != nullptr) {
        for (const std::uint64_t number : *table.offers()) {
            offers.emplace_back(number);
        }
    }
    return workers::instance_status{
        endpoint(table.address()->str()),
        data_centre_id(table.data_centre()->str()),
        table.cpu_milli(),
        table.leaving(),
        table.directory_current(),
        table.configuration_version(),
        table.directory_sequence(),
        unpack_each(*table.pools(), [](const auto& item) { return unpack(item); }),
        milliseconds(table.next_ms()),
        table.directory_source(),
        milliseconds(table.clock_ms()),
        milliseconds(table.echo_ms()),
        std::move(offers),
        workers::offer_number(table.last_offer()),
        table.orders_owners()};
}

flatbuffers::Offset<fb::directory_pull> pack(builder& out, const workers::directory_pull& value)
{
    return fb::Createdirectory_pull(out, value.since, pack(out, value.from), value.configuration_only);
}

std::optional<workers::directory_pull> unpack(const fb::directory_pull& table)
{
    return workers::directory_pull{endpoint(table.from()->str()), table.since(), table.configuration_only()};
}

flatbuffers::Offset<fb::directory_push> pack(builder& out, const workers::directory_push& value)
{
    const auto items = pack_each(out, value.items, [&out](const workers::directory_item& item) {
        const auto key = out.CreateString(item.key);
        return fb::Createdirectory_entry(out, key, item.revision, out.CreateString(item.value));
    });
    const auto source = pack(out, value.source);
    return fb::Createdirectory_push(out, value.revision, items, value.complete, source, value.sequence,
                                    value.configuration_only);
}

std::optional<workers::directory_push> unpack(const fb::directory_push& table)
{
    auto items = unpack_each(*table.items(), [](const fb::directory_entry& item) {
        return workers::directory_item{item.key()->str(), item.revision(), item.value()->str()};
    });
    return workers::directory_push{endpoint(table.source()->str()),
                                   table.sequence(),
                                   table.revision(),
                                   table.complete(),
                                   std::move(items),
                                   table.configuration_only()};
}

flatbuffers::Offset<fb::job_losses> pack(builder& out, const workers::job_losses& value)
{
    const auto job = pack(out, value.job);
    return fb::Createjob_losses(
        out, job, pack_each(out, value.losses, [&out](const auto& item) { return pack(out, item); }));
}

std::optional<workers::job_losses> unpack(const fb::job_losses& table)
{
    return workers::job_losses{workers::job_id(table.job()->str()), unpack_losses(table.losses())};
}

}  // namespace poplarshed::wire
