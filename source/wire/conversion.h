#pragma once

// Conversion between the cores' message structs and FlatBuffers tables. Internal to the library.

#include <optional>
#include <string>
#include <vector>

#include <envelope_generated.h>
#include "wire/messages.h"

namespace poplarshed::wire {

using builder = flatbuffers::FlatBufferBuilder;

/// Text of an optional string field; empty where it is absent.
inline std::string text(const flatbuffers::String* value)
{
    return value == nullptr ? std::string() : value->str();
}

template <class Tag>
flatbuffers::Offset<flatbuffers::String> pack(builder& out, const text_id<Tag>& id)
{
    return out.CreateString(id.value());
}

/// Vector of the tables that `pack_one` makes of the items.
template <class T, class PackOne>
auto pack_each(builder& out, const std::vector<T>& items, PackOne pack_one)
{
    std::vector<decltype(pack_one(items.front()))> offsets;
    offsets.reserve(items.size());
    for (const T& item : items) {
        offsets.push_back(pack_one(item));
    }
    return out.CreateVector(offsets);
}

/// What `unpack_one` makes of each table of a verified vector.
template <class Vector, class UnpackOne>
auto unpack_each(const Vector& tables, UnpackOne unpack_one)
{
    std::vector<decltype(unpack_one(*tables.Get(0)))> items;
    items.reserve(tables.size());
    for (const auto* table : tables) {
        items.push_back(unpack_one(*table));
    }
    return items;
}

fb::digest pack(const digest& value);
digest unpack(const fb::digest& value);

flatbuffers::Offset<fb::identity> pack(builder& out, const instance_id& value);
instance_id unpack(const fb::identity& table);

flatbuffers::Offset<fb::hello> pack(builder& out, const hello& value);
std::optional<hello> unpack(const fb::hello& table);

flatbuffers::Offset<fb::hello_proof> pack(builder& out, const hello_proof& value);
std::optional<hello_proof> unpack(const fb::hello_proof& table);

flatbuffers::Offset<fb::refusal> pack(builder& out, const refusal& value);
std::optional<refusal> unpack(const fb::refusal& table);

flatbuffers::Offset<fb::job_follow> pack(builder& out, const job_follow& value);
std::optional<job_follow> unpack(const fb::job_follow& table);

flatbuffers::Offset<fb::job_answer> pack(builder& out, const job_answer& value);
std::optional<job_answer> unpack(const fb::job_answer& table);

flatbuffers::Offset<fb::bundle_pull> pack(builder& out, const bundle_pull& value);
std::optional<bundle_pull> unpack(const fb::bundle_pull& table);

flatbuffers::Offset<fb::bundle_push> pack(builder& out, const bundle_push& value);
std::optional<bundle_push> unpack(const fb::bundle_push& table);

flatbuffers::Offset<fb::heartbeat> pack(builder& out, const membership::heartbeat& value);
std::optional<membership::heartbeat> unpack(const fb::heartbeat& table);

flatbuffers::Offset<fb::view_offer> pack(builder& out, const membership::view_offer& value);
std::optional<membership::view_offer> unpack(const fb::view_offer& table);

flatbuffers::Offset<fb::claim> pack(builder& out, const registry::claim& value);
std::optional<registry::claim> unpack(const fb::claim& table);

flatbuffers::Offset<fb::claim_forward> pack(builder& out, const registry::claim_forward& value);
std::optional<registry::claim_forward> unpack(const fb::claim_forward& table);

flatbuffers::Offset<fb::claim_grant> pack(builder& out, const registry::claim_grant& value);
std::optional<registry::claim_grant> unpack(const fb::claim_grant& table);

flatbuffers::Offset<fb::claim_known> pack(builder& out, const registry::claim_known& value);
std::optional<registry::claim_known> unpack(const fb::claim_known& table);

flatbuffers::Offset<fb::claim_refuse> pack(builder& out, const registry::claim_refuse& value);
std::optional<registry::claim_refuse> unpack(const fb::claim_refuse& table);

flatbuffers::Offset<fb::records_sync> pack(builder& out, const registry::records_sync& value);
std::optional<registry::records_sync> unpack(const fb::records_sync& table);

flatbuffers::Offset<fb::sync_ack> pack(builder& out, const registry::sync_ack& value);
std::optional<registry::sync_ack> unpack(const fb::sync_ack& table);

flatbuffers::Offset<fb::claim_release> pack(builder& out, const registry::claim_release& value);
std::optional<registry::claim_release> unpack(const fb::claim_release& table);

flatbuffers::Offset<fb::slot_demand> pack(builder& out, const dispatch::slot_demand& value);
std::optional<dispatch::slot_demand> unpack(const fb::slot_demand& table);

flatbuffers::Offset<fb::slot_grant> pack(builder& out, const dispatch::slot_grant& value);
std::optional<dispatch::slot_grant> unpack(const fb::slot_grant& table);

flatbuffers::Offset<fb::pool_offer> pack(builder& out, const workers::job_offer& value);
std::optional<workers::job_offer> unpack(const fb::pool_offer& table);

flatbuffers::Offset<fb::pool_progress> pack(builder& out, const workers::job_progress& value);
std::optional<workers::job_progress> unpack(const fb::pool_progress& table);

flatbuffers::Offset<fb::pool_result> pack(builder& out, const workers::job_result& value);
std::optional<workers::job_result> unpack(const fb::pool_result& table);

flatbuffers::Offset<fb::pool_cancel> pack(builder& out, const workers::job_cancel& value);
std::optional<workers::job_cancel> unpack(const fb::pool_cancel& table);

flatbuffers::Offset<fb::instance_status> pack(builder& out, const workers::instance_status& value);
std::optional<workers::instance_status> unpack(const fb::instance_status& table);

flatbuffers::Offset<fb::directory_pull> pack(builder& out, const workers::directory_pull& value);
std::optional<workers::directory_pull> unpack(const fb::directory_pull& table);

flatbuffers::Offset<fb::directory_push> pack(builder& out, const workers::directory_push& value);
std::optional<workers::directory_push> unpack(const fb::directory_push& table);

flatbuffers::Offset<fb::job_losses> pack(builder& out, const workers::job_losses& value);
std::optional<workers::job_losses> unpack(const fb::job_losses& table);

}  // namespace poplarshed::wire
