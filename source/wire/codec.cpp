#include "wire/conversion.h"
#include "wire/frame.h"

namespace poplarshed::wire {

namespace {

constexpr std::size_t initial_builder_bytes = 512;
// Deeper than any table of the schema.
constexpr flatbuffers::uoffset_t max_table_depth = 8;
// Above the tables of the largest batch of records that fits a frame.
constexpr flatbuffers::uoffset_t max_tables = 1'000'000;

template <class Table>
void finish(builder& out, flatbuffers::Offset<Table> body)
{
    fb::FinishSizePrefixedenvelopeBuffer(
        out, fb::Createenvelope(out, fb::contentTraits<Table>::enum_value, body.Union()));
}

template <class Table>
result<message, frame_error> convert(const fb::envelope& envelope)
{
    auto value = unpack(*static_cast<const Table*>(envelope.body()));
    if (!value) {
        return frame_error::bad_value;
    }
    return message(std::move(*value));
}

result<message, frame_error> convert_body(const fb::envelope& envelope)
{
    switch (envelope.body_type()) {
        case fb::content::hello:
            return convert<fb::hello>(envelope);
        case fb::content::hello_proof:
            return convert<fb::hello_proof>(envelope);
        case fb::content::job_follow:
            return convert<fb::job_follow>(envelope);
        case fb::content::job_answer:
            return convert<fb::job_answer>(envelope);
        case fb::content::bundle_pull:
            return convert<fb::bundle_pull>(envelope);
        case fb::content::bundle_push:
            return convert<fb::bundle_push>(envelope);
        case fb::content::heartbeat:
            return convert<fb::heartbeat>(envelope);
        case fb::content::view_offer:
            return convert<fb::view_offer>(envelope);
        case fb::content::claim:
            return convert<fb::claim>(envelope);
        case fb::content::claim_forward:
            return convert<fb::claim_forward>(envelope);
        case fb::content::claim_grant:
            return convert<fb::claim_grant>(envelope);
        case fb::content::claim_known:
            return convert<fb::claim_known>(envelope);
        case fb::content::claim_refuse:
            return convert<fb::claim_refuse>(envelope);
        case fb::content::records_sync:
            return convert<fb::records_sync>(envelope);
        case fb::content::sync_ack:
            return convert<fb::sync_ack>(envelope);
        case fb::content::claim_release:
            return convert<fb::claim_release>(envelope);
        case fb::content::slot_demand:
            return convert<fb::slot_demand>(envelope);
        case fb::content::slot_grant:
            return convert<fb::slot_grant>(envelope);
        case fb::content::pool_offer:
            return convert<fb::pool_offer>(envelope);
        case fb::content::pool_progress:
            return convert<fb::pool_progress>(envelope);
        case fb::content::pool_result:
            return convert<fb::pool_result>(envelope);
        case fb::content::pool_cancel:
            return convert<fb::pool_cancel>(envelope);
        case fb::content::instance_status:
            return convert<fb::instance_status>(envelope);
        case fb::content::directory_pull:
            return convert<fb::directory_pull>(envelope);
        case fb::content::directory_push:
            return convert<fb::directory_push>(envelope);
        case fb::content::job_losses:
            return convert<fb::job_losses>(envelope);
        case fb::content::NONE:
            break;
    }
    return frame_error::unknown_message;
}

// Bytes of the strings that can make a message large. The builder asserts at 2 GiB, so the check comes first.
std::size_t text_bytes(const message& value)
{
    std::size_t total = 0;
    if (const auto* answer = std::get_if<job_answer>(&value)) {
        if (const auto* complete = std::get_if<dispatch::job_complete>(&answer->outcome)) {
            for (const std::string& result : complete->results) {
                total += result.size();
            }
        }
    } else if (const auto* push = std::get_if<bundle_push>(&value)) {
        total = push->text.size();
    } else if (const auto* items = std::get_if<workers::directory_push>(&value)) {
        for (const workers::directory_item& item : items->items) {
            total += item.value.size();
        }
    }
    return total;
}

}  // namespace

result<frame, frame_error> encode(const message& value)
{
    if (text_bytes(value) > max_frame_bytes) {
        return frame_error::oversize;
    }
    builder out(initial_builder_bytes);
    std::visit([&out](const auto& item) { finish(out, pack(out, item)); }, value);
    if (out.GetSize() > length_bytes + max_frame_bytes) {
        return frame_error::oversize;
    }
    return frame(out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize());
}

result<message, frame_error> decode(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_table_depth, max_tables);
    if (!fb::VerifySizePrefixedenvelopeBuffer(verifier)) {
        return frame_error::not_verified;
    }
    return convert_body(*fb::GetSizePrefixedenvelope(bytes.data()));
}

}  // namespace poplarshed::wire
