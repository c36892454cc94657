#include "peer/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <string>

namespace poplarshed::peer {

namespace {

// Each field is preceded by its length, so that no two sets of fields give the same text.
void append(std::string& text, std::string_view field)
{
    for (unsigned shift = 0; shift < 32; shift += 8) {
        text.push_back(static_cast<char>(field.size() >> shift));
    }
    text.append(field);
}

void append(std::string& text, const wire::hello& value)
{
    append(text, std::to_string(value.protocol));
    append(text, value.data_centre.value());
    append(text, value.instance.address.value());
    append(text, std::to_string(value.instance.incarnation.value()));
    append(text, {reinterpret_cast<const char*>(value.nonce.data()), value.nonce.size()});
}

}  // namespace

wire::handshake_nonce make_nonce()
{
    wire::handshake_nonce nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        // Without random numbers every handshake could be replayed.
        std::abort();
    }
    return nonce;
}

wire::handshake_proof make_proof(std::string_view cluster_key, side prover, const wire::hello& connecting,
                                 const wire::hello& accepting)
{
    std::string text;
    append(text, prover == side::connecting ? "poplarshed connecting" : "poplarshed accepting");
    append(text, connecting);
    append(text, accepting);
    wire::handshake_proof proof{};
    HMAC(EVP_sha256(), cluster_key.data(), static_cast<int>(cluster_key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), proof.data(), nullptr);
    return proof;
}

bool same_proof(const wire::handshake_proof& left, const wire::handshake_proof& right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace poplarshed::peer
