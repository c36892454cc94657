#pragma once

#include "instance/protocol.h"

namespace poplarshed::instance {

/// Keeps exceptions of a protocol's decoders away from the core thread, which they would end: the input
/// counts as one that cannot be read.
class guarded_protocol final : public protocol {
public:
    /// @param inner outlives this object
    explicit guarded_protocol(const protocol& inner) : m_inner(inner) {}

    std::string configuration_key() const override { return m_inner.configuration_key(); }
    std::string operator_prefix() const override { return m_inner.operator_prefix(); }
    std::string evacuation_prefix() const override { return m_inner.evacuation_prefix(); }
    std::string workers_prefix() const override { return m_inner.workers_prefix(); }
    std::string own_prefix() const override { return m_inner.own_prefix(); }
    http::request list_items(const std::string& prefix, const std::string& after) const override
    {
        return m_inner.list_items(prefix, after);
    }
    http::request watch_items(const std::string& prefix, std::uint64_t after,
                              milliseconds wait) const override
    {
        return m_inner.watch_items(prefix, after, wait);
    }
    http::request write_item(const store_write& write) const override { return m_inner.write_item(write); }
    http::request grant_lease(milliseconds ttl) const override { return m_inner.grant_lease(ttl); }
    http::request renew_lease(std::uint64_t lease) const override { return m_inner.renew_lease(lease); }
    http::request end_lease(std::uint64_t lease) const override { return m_inner.end_lease(lease); }
    result<store_page, store_status> decode_items(const http::response& response) const override;
    store_answer decode_answer(const http::response& response) const override;
    result<routing::configuration, input_error> decode_configuration(const std::string& value) const override;
    result<workers::worker_entry, input_error> decode_worker(const std::string& key,
                                                             const std::string& value) const override;

    http::request encode(const workers::start_command& order) const override { return m_inner.encode(order); }
    http::request encode(const workers::stop_command& order) const override { return m_inner.encode(order); }
    http::request encode(const workers::list_command& order) const override { return m_inner.encode(order); }
    workers::start_reply decode_start(const workers::start_command& order,
                                      const http::response& response) const override;
    workers::stop_reply decode_stop(const workers::stop_command& order,
                                    const http::response& response) const override;
    result<decoded_listing, workers::list_failure> decode_list(const workers::list_command& order,
                                                               const http::response& response) const override;

    caller_call decode_call(const caller_request& request, const routing::route& target) const override;
    caller_answer encode_answer(const routing::answer_caller& answer) const override
    {
        return m_inner.encode_answer(answer);
    }
    caller_answer encode_refusal(refusal_reason reason, milliseconds retry_after) const override
    {
        return m_inner.encode_refusal(reason, retry_after);
    }
    caller_answer encode_cancelled(bool known) const override { return m_inner.encode_cancelled(known); }
    caller_answer encode_state(std::optional<bool> running) const override
    {
        return m_inner.encode_state(running);
    }
    caller_answer encode_count(std::size_t waiting) const override { return m_inner.encode_count(waiting); }

private:
    const protocol& m_inner;
};

}  // namespace poplarshed::instance
