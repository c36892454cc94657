#include <algorithm>

#include "wire/conversion.h"

namespace poplarshed::wire {

namespace {

using registry::claim_entry;
using registry::claim_record;
using registry::claim_reference;
using registry::claim_sequence;
using registry::grant_entry;
using registry::known_entry;

fb::claim_reference pack(const claim_reference& value)
{
    return {wire::pack(value.id), value.sequence.value()};
}

claim_reference unpack(const fb::claim_reference& value)
{
    return {wire::unpack(value.id()), claim_sequence(value.sequence())};
}

auto pack_references(builder& out, const std::vector<claim_reference>& claims)
{
    std::vector<fb::claim_reference> packed;
    packed.reserve(claims.size());
    std::transform(claims.begin(), claims.end(), std::back_inserter(packed),
                   [](const claim_reference& item) { return pack(item); });
    return out.CreateVectorOfStructs(packed);
}

std::vector<claim_reference> unpack_references(const flatbuffers::Vector<const fb::claim_reference*>& claims)
{
    return unpack_each(claims, [](const fb::claim_reference& item) { return unpack(item); });
}

auto pack_entries(builder& out, const std::vector<claim_entry>& entries)
{
    return pack_each(out, entries, [&out](const claim_entry& item) {
        const fb::digest id = wire::pack(item.id);
        const fb::digest body = wire::pack(item.body);
        flatbuffers::Offset<fb::identity> supersedes;
        if (item.supersedes) {
            supersedes = wire::pack(out, *item.supersedes);
        }
        return fb::Createclaim_entry(out, &id, &body, item.sequence.value(), item.issued.value(), supersedes);
    });
}

std::vector<claim_entry> unpack_entries(
    const flatbuffers::Vector<flatbuffers::Offset<fb::claim_entry>>& entries)
{
    return unpack_each(entries, [](const fb::claim_entry& item) {
        claim_entry value{wire::unpack(*item.id()), wire::unpack(*item.content()),
                          claim_sequence(item.sequence()), view_epoch(item.issued()), std::nullopt};
        if (item.supersedes() != nullptr) {
            value.supersedes = wire::unpack(*item.supersedes());
        }
        return value;
    });
}

template <class Claim, class Table>
Claim unpack_claim(const Table& table)
{
    return {data_centre_id(table.home()->str()), view_epoch(table.epoch()), wire::unpack(*table.owner()),
            unpack_entries(*table.entries())};
}

flatbuffers::Offset<fb::known_entry> pack_known(builder& out, const known_entry& value)
{
    const fb::claim_reference asked = pack(value.asked);
    const fb::digest body = wire::pack(value.body);
    return fb::Createknown_entry(out, &asked, &body, wire::pack(out, value.owner), value.sequence.value());
}

flatbuffers::Offset<fb::claim_record> pack_record(builder& out, const claim_record& value)
{
    const fb::digest id = wire::pack(value.id);
    const fb::digest body = wire::pack(value.body);
    const auto owner = wire::pack(out, value.owner);
    const auto replaced =
        value.replaced ? wire::pack(out, *value.replaced) : flatbuffers::Offset<fb::identity>();
    return fb::Createclaim_record(out, &id, &body, owner, value.sequence.value(), value.age.count(),
                                  replaced);
}

claim_record unpack_record(const fb::claim_record& table)
{
    claim_record value{wire::unpack(*table.id()),
                       wire::unpack(*table.content()),
                       wire::unpack(*table.owner()),
                       claim_sequence(table.sequence()),
                       {},
                       milliseconds(table.age_ms())};
    if (table.replaced() != nullptr) {
        value.replaced = wire::unpack(*table.replaced());
    }
    return value;
}

}  // namespace

flatbuffers::Offset<fb::claim> pack(builder& out, const registry::claim& value)
{
    const auto home = pack(out, value.home);
    const auto owner = pack(out, value.owner);
    return fb::Createclaim(out, home, value.epoch.value(), owner, pack_entries(out, value.entries));
}

std::optional<registry::claim> unpack(const fb::claim& table)
{
    return unpack_claim<registry::claim>(table);
}

flatbuffers::Offset<fb::claim_forward> pack(builder& out, const registry::claim_forward& value)
{
    const auto home = pack(out, value.home);
    const auto owner = pack(out, value.owner);
    return fb::Createclaim_forward(out, home, value.epoch.value(), owner, pack_entries(out, value.entries));
}

std::optional<registry::claim_forward> unpack(const fb::claim_forward& table)
{
    return unpack_claim<registry::claim_forward>(table);
}

flatbuffers::Offset<fb::claim_grant> pack(builder& out, const registry::claim_grant& value)
{
    const auto home = pack(out, value.home);
    std::vector<fb::grant_entry> entries;
    entries.reserve(value.claims.size());
    for (const grant_entry& item : value.claims) {
        entries.emplace_back(pack(item.claim), item.rerun);
    }
    return fb::Createclaim_grant(out, home, value.epoch.value(), out.CreateVectorOfStructs(entries));
}

std::optional<registry::claim_grant> unpack(const fb::claim_grant& table)
{
    registry::claim_grant value{data_centre_id(table.home()->str()), view_epoch(table.epoch()), {}};
    for (const fb::grant_entry* item : *table.claims()) {
        value.claims.push_back({unpack(item->claim()), item->rerun()});
    }
    return value;
}

flatbuffers::Offset<fb::claim_known> pack(builder& out, const registry::claim_known& value)
{
    const auto home = pack(out, value.home);
    const auto entries =
        pack_each(out, value.entries, [&out](const auto& item) { return pack_known(out, item); });
    return fb::Createclaim_known(out, home, value.epoch.value(), entries);
}

std::optional<registry::claim_known> unpack(const fb::claim_known& table)
{
    auto entries = unpack_each(*table.entries(), [](const fb::known_entry& item) {
        return known_entry{unpack(*item.asked()), wire::unpack(*item.content()), wire::unpack(*item.owner()),
                           claim_sequence(item.sequence())};
    });
    return registry::claim_known{data_centre_id(table.home()->str()), view_epoch(table.epoch()),
                                 std::move(entries)};
}

flatbuffers::Offset<fb::claim_refuse> pack(builder& out, const registry::claim_refuse& value)
{
    const auto home = pack(out, value.home);
    const auto claims = pack_references(out, value.claims);
    return fb::Createclaim_refuse(out, home, value.epoch.value(), static_cast<std::uint8_t>(value.cause),
                                  claims);
}

std::optional<registry::claim_refuse> unpack(const fb::claim_refuse& table)
{
    if (table.cause() > static_cast<std::uint8_t>(registry::refuse_cause::overloaded)) {
        return std::nullopt;
    }
    return registry::claim_refuse{data_centre_id(table.home()->str()), view_epoch(table.epoch()),
                                  static_cast<registry::refuse_cause>(table.cause()),
                                  unpack_references(*table.claims())};
}

flatbuffers::Offset<fb::records_sync> pack(builder& out, const registry::records_sync& value)
{
    const auto home = pack(out, value.home);
    const auto records =
        pack_each(out, value.records, [&out](const auto& item) { return pack_record(out, item); });
    return fb::Createrecords_sync(out, home, value.epoch.value(), value.chunk, records);
}

std::optional<registry::records_sync> unpack(const fb::records_sync& table)
{
    return registry::records_sync{data_centre_id(table.home()->str()), view_epoch(table.epoch()),
                                  table.chunk(), unpack_each(*table.records(), unpack_record)};
}

flatbuffers::Offset<fb::sync_ack> pack(builder& out, const registry::sync_ack& value)
{
    return fb::Createsync_ack(out, pack(out, value.home), value.epoch.value(), value.chunk);
}

std::optional<registry::sync_ack> unpack(const fb::sync_ack& table)
{
    return registry::sync_ack{data_centre_id(table.home()->str()), view_epoch(table.epoch()), table.chunk()};
}

flatbuffers::Offset<fb::claim_release> pack(builder& out, const registry::claim_release& value)
{
    const auto home = pack(out, value.home);
    const auto owner = pack(out, value.owner);
    return fb::Createclaim_release(out, home, owner, pack_references(out, value.claims));
}

std::optional<registry::claim_release> unpack(const fb::claim_release& table)
{
    return registry::claim_release{data_centre_id(table.home()->str()), wire::unpack(*table.owner()),
                                   unpack_references(*table.claims())};
}

}  // namespace poplarshed::wire
