#pragma once

#include <string_view>

#include "wire/wire.h"

namespace poplarshed::peer {

/// Side of a connection. It enters the proof, so that a proof cannot be reflected to its sender.
enum class side { connecting, accepting };

/// A fresh random nonce.
wire::handshake_nonce make_nonce();

/// HMAC-SHA256 with the cluster key over the side, both hellos and so both nonces.
wire::handshake_proof make_proof(std::string_view cluster_key, side prover, const wire::hello& connecting,
                                 const wire::hello& accepting);

/// Compares in constant time.
bool same_proof(const wire::handshake_proof& left, const wire::handshake_proof& right);

}  // namespace poplarshed::peer
