#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "http/http.h"
#include "instance/input_fault.h"
#include "routing/routing.h"

namespace poplarshed::instance {

/// A request as a caller sent it.
struct caller_request {
    http::method method = http::method::get;
    std::string host;
    std::string path;
    std::string request_id;       ///< of the caller, for logs; may be empty
    std::string time_limit_text;  ///< header with the time that the caller waits
    std::string body;
};

struct caller_answer {
    int status = 200;
    std::string body;
    milliseconds retry_after{};  ///< sent as a header where above 0
};

enum class call_kind { submit, state, cancel, count, invalid };

/// A request to a route, decoded.
struct caller_call {
    call_kind kind = call_kind::invalid;
    routing::caller_job job;                               ///< only the id, unless submitted
    refusal_reason reason = refusal_reason::invalid_body;  ///< where invalid
    std::string detail;
};

/// One item of the store.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

struct store_page {
    std::vector<store_item> items;  ///< an odd revision is given as 0, an odd value as an empty one
    std::uint64_t revision = 0;
    bool more = false;
    std::size_t skipped = 0;  ///< rows whose key cannot be read
};

/// Greatest revision of which a fencing token can be made: a token keeps 16 of 64 bits for instances that
/// take a pool without the store, and the adapter's numbers are signed.
inline constexpr std::uint64_t max_revision = (std::uint64_t{1} << 47U) - 1;
/// Bytes of a key, from the pages of the users' store.
inline constexpr std::size_t max_key_bytes = 200;

/// A worker's list, and why rows of it were left out.
struct decoded_listing : workers::listing {
    std::vector<input_error> skipped;
};

/// Conditional write of one item.
struct store_write {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;                         ///< 0: the item stays until it is removed
    std::optional<std::uint64_t> expected_revision;  ///< absent: whatever there is
};

enum class store_status { done, conflict, lease_lapsed, history_lost, failed };

/// Answer of the store to a write or a lease call.
struct store_answer {
    store_status status = store_status::failed;
    std::uint64_t revision = 0;  ///< of a write
    std::uint64_t lease = 0;     ///< of a grant
};

/// What this instance speaks with its surroundings: names, formats and calls. Implementations decide nothing.
/// Every function is called on the core thread.
class protocol {
public:
    virtual ~protocol() = default;

    // Store
    virtual std::string configuration_key() const = 0;
    /// Prefix of the items that operators write: the configuration, evacuations and others that are not used.
    virtual std::string operator_prefix() const = 0;
    /// Prefix of the orders to evacuate a data centre; its name follows. Contained in operator_prefix().
    virtual std::string evacuation_prefix() const = 0;
    virtual std::string workers_prefix() const = 0;
    /// Prefix of the items that the instances write.
    virtual std::string own_prefix() const = 0;
    virtual http::request list_items(const std::string& prefix, const std::string& after) const = 0;
    virtual http::request watch_items(const std::string& prefix, std::uint64_t after,
                                      milliseconds wait) const = 0;
    virtual http::request write_item(const store_write& write) const = 0;
    virtual http::request grant_lease(milliseconds ttl) const = 0;
    virtual http::request renew_lease(std::uint64_t lease) const = 0;
    virtual http::request end_lease(std::uint64_t lease) const = 0;
    /// Items of a page, or events of a watch. @returns history_lost if the watch must begin anew
    virtual result<store_page, store_status> decode_items(const http::response& response) const = 0;
    virtual store_answer decode_answer(const http::response& response) const = 0;
    virtual result<routing::configuration, input_error> decode_configuration(
        const std::string& value) const = 0;
    virtual result<workers::worker_entry, input_error> decode_worker(const std::string& key,
                                                                     const std::string& value) const = 0;

    // Workers
    virtual http::request encode(const workers::start_command& order) const = 0;
    virtual http::request encode(const workers::stop_command& order) const = 0;
    virtual http::request encode(const workers::list_command& order) const = 0;
    virtual workers::start_reply decode_start(const workers::start_command& order,
                                              const http::response& response) const = 0;
    virtual workers::stop_reply decode_stop(const workers::stop_command& order,
                                            const http::response& response) const = 0;
    /// A run whose number is odd is listed with the number 0, since it may be one that counts as running.
    virtual result<decoded_listing, workers::list_failure> decode_list(
        const workers::list_command& order, const http::response& response) const = 0;

    // Callers
    virtual caller_call decode_call(const caller_request& request, const routing::route& target) const = 0;
    virtual caller_answer encode_answer(const routing::answer_caller& answer) const = 0;
    virtual caller_answer encode_refusal(refusal_reason reason, milliseconds retry_after) const = 0;
    virtual caller_answer encode_cancelled(bool known) const = 0;
    virtual caller_answer encode_state(std::optional<bool> running) const = 0;
    virtual caller_answer encode_count(std::size_t waiting) const = 0;
};

}  // namespace poplarshed::instance
