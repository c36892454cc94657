#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"
#include "dispatch/types.h"

/// Client of the platform's key-value service and instance list.
namespace poplarshed::platform {

/// Revision of a key; grows with each change. Revision 0 stands for a key that does not exist.
using revision = number_id<struct revision_tag>;
using lease_id = number_id<struct lease_id_tag>;

/// Value of a key at one revision.
struct entry {
    std::string key;
    std::string value;
    platform::revision revision;

    bool operator==(const entry&) const = default;
};

enum class write_status {
    written,
    conflict,         ///< the key has another revision; nothing was written
    lease_lapsed,     ///< the lease named in the call no longer exists; nothing was written
    rejected,         ///< the platform or this client refused the call as invalid; nothing was written
    outcome_unknown,  ///< the request may have been read and its answer was lost: it may have taken effect
    unavailable,      ///< no byte was sent; nothing was written
};

/// Outcome of a conditional write or deletion.
struct write_outcome {
    write_status status = write_status::unavailable;
    platform::revision revision;   ///< of the write, where written
    std::optional<entry> current;  ///< where conflict: the value that stood against it; empty: no such key
    std::string detail;            ///< cause of a failure, for logs
};

enum class read_status {
    found,
    absent,       ///< the platform answered that there is no such key
    unavailable,  ///< no usable answer within the time limit
};

/// Outcome of reading a key or a prefix.
struct read_outcome {
    read_status status = read_status::unavailable;
    std::vector<entry> entries;  ///< one for a key; any number for a prefix
    std::string detail;
};

enum class lease_status {
    alive,
    lapsed,
    unavailable,  ///< no usable answer; a lease may have been granted or prolonged
};

/// Outcome of a call about a lease.
struct lease_outcome {
    lease_status status = lease_status::unavailable;
    lease_id lease;
    std::string detail;
};

/// The platform's list of instances, which lags behind.
struct instance_list {
    std::vector<dispatch::runner> runners;
    std::size_t skipped = 0;  ///< entries with invalid fields, left out
};

struct instances_outcome {
    bool available = false;
    instance_list list;
    std::string detail;
};

/// Reads the text of GET /v1/instances. Entries of other roles are ignored, invalid ones are skipped.
/// Thread-safe. @returns an error if the text as a whole is no such list
result<instance_list> parse_instances(std::string_view text);

/// Settings of a client.
struct client_options {
    endpoint address;
    milliseconds connect_timeout{500};
    milliseconds call_timeout{2'000};          ///< of a call, connecting included
    milliseconds watch_timeout{20'000};        ///< that the platform is asked to hold a watch
    milliseconds watch_retry{500};             ///< longest pause after a watch failed; jittered
    std::size_t queue_capacity = 1024;         ///< calls that wait for the thread
    std::size_t max_answer_bytes = 8U << 20U;  ///< a longer answer is no usable answer
};

/// Calls made since the start, by kind; a waiting watch counts as one.
struct call_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t leases = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;  ///< of these, without a usable answer

    bool operator==(const call_counts&) const = default;
};

/// Calls the platform over HTTP: one thread for calls, in order, and one for the watch.
/// Any thread may call. Handlers run on the client's threads, once for each call that was accepted, and not
/// after the destructor has returned. Calls that still wait then are dropped.
class client {
public:
    using read_handler = std::function<void(read_outcome)>;
    using write_handler = std::function<void(write_outcome)>;
    using lease_handler = std::function<void(lease_outcome)>;
    using instances_handler = std::function<void(instances_outcome)>;
    using watch_handler = std::function<void(entry)>;

    explicit client(client_options options);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    /// Each returns false if the queue is full; the handler is not called then.
    bool read(std::string key, read_handler done);
    bool read_prefix(const std::string& prefix, read_handler done);
    /// Writes if the key has the revision `expected`. @param lease the key vanishes with it
    bool write(std::string key, std::string value, revision expected, std::optional<lease_id> lease,
               write_handler done);
    /// Deletes the key if it has the revision `expected`.
    bool erase(std::string key, revision expected, write_handler done);
    bool grant_lease(milliseconds ttl, lease_handler done);
    bool keep_alive(lease_id lease, lease_handler done);
    bool revoke(lease_id lease, lease_handler done);
    bool read_instances(instances_handler done);

    /// Reports each change of the key past `after`, oldest first, intermediate values possibly left out.
    /// Failures are retried without end. Replaces an earlier watch.
    void watch(std::string key, revision after, watch_handler on_change);
    void stop_watch();

    call_counts counts() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

}  // namespace poplarshed::platform
