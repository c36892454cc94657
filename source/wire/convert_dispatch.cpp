#include "wire/conversion.h"

namespace poplarshed::wire {

flatbuffers::Offset<fb::slot_demand> pack(builder& out, const dispatch::slot_demand& value)
{
    const auto wanted = pack_each(out, value.wanted, [&out](const dispatch::service_demand& item) {
        return fb::Createservice_demand(out, pack(out, item.service), item.wanted,
                                        static_cast<std::uint32_t>(item.longest_run.count()));
    });
    const auto workspaces = pack_each(out, value.workspaces, [&out](const dispatch::workspace_demand& item) {
        return fb::Createteam_demand(out, pack(out, item.workspace), item.tasks);
    });
    return fb::Createslot_demand(out, value.from, value.peers, wanted, value.idle, value.held, workspaces);
}

std::optional<dispatch::slot_demand> unpack(const fb::slot_demand& table)
{
    auto wanted = unpack_each(*table.wanted(), [](const fb::service_demand& item) {
        return dispatch::service_demand{service_id(item.service()->str()), item.wanted(),
                                        milliseconds(item.longest_run_ms())};
    });
    auto workspaces = unpack_each(*table.teams(), [](const fb::team_demand& item) {
        return dispatch::workspace_demand{workspace_id(item.team()->str()), item.tasks()};
    });
    return dispatch::slot_demand{table.from(), table.peers(), std::move(wanted),
                                 table.idle(), table.held(),  std::move(workspaces)};
}

flatbuffers::Offset<fb::slot_grant> pack(builder& out, const dispatch::slot_grant& value)
{
    const auto slots = pack_each(out, value.slots, [&out](const dispatch::lent_slots& item) {
        return fb::Createlent_slots(out, pack(out, item.runner), item.slots);
    });
    return fb::Createslot_grant(out, value.from, value.peers, value.returned, slots);
}

std::optional<dispatch::slot_grant> unpack(const fb::slot_grant& table)
{
    auto slots = unpack_each(*table.slots(), [](const fb::lent_slots& item) {
        return dispatch::lent_slots{endpoint(item.runner()->str()), item.slots()};
    });
    return dispatch::slot_grant{table.from(), table.peers(), table.returned(), std::move(slots)};
}

}  // namespace poplarshed::wire
