#include "wire/conversion.h"

namespace poplarshed::wire {

namespace {

flatbuffers::Offset<fb::view_member> pack(builder& out, const membership::view_member& value)
{
    const auto instance = wire::pack(out, value.instance);
    return fb::Createview_member(out, instance, wire::pack(out, value.data_centre));
}

membership::view_member unpack(const fb::view_member& table)
{
    return {wire::unpack(*table.instance()), data_centre_id(table.data_centre()->str())};
}

flatbuffers::Offset<fb::view_progress> pack(builder& out, const membership::view_progress& value)
{
    const auto data_centre = wire::pack(out, value.data_centre);
    return fb::Createview_progress(out, data_centre, value.adopted.value(), value.synced.value());
}

membership::view_progress unpack(const fb::view_progress& table)
{
    return {data_centre_id(table.data_centre()->str()), view_epoch(table.adopted()),
            view_epoch(table.synced())};
}

flatbuffers::Offset<fb::view> pack(builder& out, const membership::view& value)
{
    const auto data_centre = wire::pack(out, value.data_centre);
    const auto members = pack_each(out, value.members, [&out](const auto& item) { return pack(out, item); });
    return fb::Createview(out, data_centre, value.epoch.value(), members, value.amnesia_epoch.value(),
                          value.nonce, value.settled);
}

membership::view unpack(const fb::view& table)
{
    membership::view value;
    value.data_centre = data_centre_id(table.data_centre()->str());
    value.epoch = view_epoch(table.epoch());
    value.members = unpack_each(*table.members(), [](const auto& item) { return unpack(item); });
    value.amnesia_epoch = view_epoch(table.amnesia_epoch());
    value.nonce = table.nonce();
    value.settled = table.settled();
    return value;
}

}  // namespace

flatbuffers::Offset<fb::heartbeat> pack(builder& out, const membership::heartbeat& value)
{
    const auto data_centre = pack(out, value.data_centre);
    const auto views = pack_each(out, value.views, [&out](const auto& item) { return pack(out, item); });
    const auto tombstones =
        pack_each(out, value.tombstones, [&out](const instance_id& item) { return wire::pack(out, item); });
    return fb::Createheartbeat(out, data_centre, views, tombstones, value.configuration_version.value(),
                               static_cast<std::uint8_t>(value.drain), value.jobs_in_flight);
}

std::optional<membership::heartbeat> unpack(const fb::heartbeat& table)
{
    if (table.drain() > static_cast<std::uint8_t>(membership::drain_state::draining)) {
        return std::nullopt;
    }
    membership::heartbeat value;
    value.data_centre = data_centre_id(table.data_centre()->str());
    value.views = unpack_each(*table.views(), [](const auto& item) { return unpack(item); });
    value.tombstones =
        unpack_each(*table.tombstones(), [](const fb::identity& item) { return wire::unpack(item); });
    value.configuration_version = configuration_version(table.configuration_version());
    value.drain = static_cast<membership::drain_state>(table.drain());
    value.jobs_in_flight = table.jobs_in_flight();
    return value;
}

flatbuffers::Offset<fb::view_offer> pack(builder& out, const membership::view_offer& value)
{
    return fb::Createview_offer(out, pack(out, value.view));
}

std::optional<membership::view_offer> unpack(const fb::view_offer& table)
{
    return membership::view_offer{unpack(*table.offered())};
}

}  // namespace poplarshed::wire
