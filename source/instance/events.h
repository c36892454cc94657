#pragma once

#include <memory>
#include <variant>

#include "common/common.h"
#include "instance/protocol.h"
#include "peer/peer.h"

namespace poplarshed::instance {

struct request_arrived {
    routing::caller_id caller;
    caller_request request;
    std::shared_ptr<void> held;  ///< counts the body in the listener's memory until the event is destroyed
};

struct caller_left {
    routing::caller_id caller;
};

struct peer_message {
    wire::message message;
};

struct peer_down {
    endpoint address;
    peer::down_evidence evidence = peer::down_evidence::timed_out;
};

struct call_ended {
    http::call_id call;
    http::response response;
};

enum class signal_kind { stop, reload };

struct signal_received {
    signal_kind kind = signal_kind::stop;
};

using core_event =
    std::variant<request_arrived, caller_left, peer_message, peer_down, call_ended, signal_received>;
using core_inbox = bounded_ring<core_event>;

}  // namespace poplarshed::instance
