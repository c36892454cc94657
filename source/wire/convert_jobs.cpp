#include <limits>

#include "wire/conversion.h"

namespace poplarshed::wire {

namespace {

struct packed_outcome {
    fb::job_result kind = fb::job_result::complete;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> results;
    flatbuffers::Offset<fb::refusal> cause;
    std::int64_t task = -1;
};

packed_outcome pack_outcome(builder& out, const dispatch::job_complete& value)
{
    packed_outcome packed;
    packed.results = out.CreateVectorOfStrings(value.results);
    return packed;
}

packed_outcome pack_outcome(builder& out, const dispatch::job_failed& value)
{
    const std::int64_t task = value.task ? std::int64_t{*value.task} : -1;
    return {fb::job_result::failed, {}, pack(out, value.cause), task};
}

packed_outcome pack_outcome(builder& out, const dispatch::job_refused& value)
{
    return {fb::job_result::refused, {}, pack(out, value.cause), -1};
}

std::optional<dispatch::job_outcome> unpack_complete(const fb::job_answer& table)
{
    if (table.results() == nullptr) {
        return std::nullopt;
    }
    dispatch::job_complete value;
    value.results.reserve(table.results()->size());
    for (const flatbuffers::String* item : *table.results()) {
        value.results.push_back(item->str());
    }
    return value;
}

std::optional<dispatch::job_outcome> unpack_outcome(const fb::job_answer& table)
{
    if (table.result() == fb::job_result::complete) {
        return unpack_complete(table);
    }
    if (table.cause() == nullptr || table.task() > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    auto cause = unpack(*table.cause());
    if (!cause) {
        return std::nullopt;
    }
    if (table.result() == fb::job_result::refused) {
        return dispatch::job_refused{std::move(*cause)};
    }
    if (table.result() != fb::job_result::failed) {
        return std::nullopt;
    }
    dispatch::job_failed value{std::move(*cause), std::nullopt};
    if (table.task() >= 0) {
        value.task = static_cast<std::uint32_t>(table.task());
    }
    return value;
}

}  // namespace

flatbuffers::Offset<fb::job_follow> pack(builder& out, const job_follow& value)
{
    const auto submission = pack(out, value.submission);
    const fb::digest body = pack(value.body);
    return fb::Createjob_follow(out, submission, &body);
}

std::optional<job_follow> unpack(const fb::job_follow& table)
{
    return job_follow{submission_id(table.submission()->str()), unpack(*table.content())};
}

flatbuffers::Offset<fb::job_answer> pack(builder& out, const job_answer& value)
{
    const auto submission = pack(out, value.submission);
    const auto packed =
        std::visit([&out](const auto& item) { return pack_outcome(out, item); }, value.outcome);
    return fb::Createjob_answer(out, submission, packed.kind, packed.results, packed.cause, packed.task);
}

std::optional<job_answer> unpack(const fb::job_answer& table)
{
    auto outcome = unpack_outcome(table);
    if (!outcome) {
        return std::nullopt;
    }
    return job_answer{submission_id(table.submission()->str()), std::move(*outcome)};
}

flatbuffers::Offset<fb::bundle_pull> pack(builder& out, const bundle_pull& value)
{
    return fb::Createbundle_pull(out, value.version.value());
}

std::optional<bundle_pull> unpack(const fb::bundle_pull& table)
{
    return bundle_pull{configuration_version(table.version())};
}

flatbuffers::Offset<fb::bundle_push> pack(builder& out, const bundle_push& value)
{
    return fb::Createbundle_push(out, value.version.value(), out.CreateString(value.text));
}

std::optional<bundle_push> unpack(const fb::bundle_push& table)
{
    return bundle_push{configuration_version(table.version()), table.text()->str()};
}

}  // namespace poplarshed::wire
