// Names of error codes, hash functions and random numbers.
#include "turmericwing/base/hash.h"
#include "turmericwing/base/random.h"
#include "turmericwing/base/result.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace turmericwing {

namespace detail {

    std::string toHex(const unsigned char* data, size_t size)
    {
        static constexpr char digits[] = "0123456789abcdef";
        std::string out;
        out.reserve(size * 2);
        for (size_t i = 0; i < size; ++i) {
            out += digits[data[i] >> 4];
            out += digits[data[i] & 15];
        }
        return out;
    }

} // namespace detail

const char* toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Invalid:
        return "invalid";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::Denied:
        return "denied";
    case ErrorCode::Internal:
        break;
    }
    return "internal";
}

uint64_t hash64(std::string_view data, uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

uint64_t rendezvousWeight(std::string_view key, std::string_view node) { return hash64(node, hash64(key)); }

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> out {};
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), out.data());
    return detail::toHex(out.data(), out.size());
}

std::string hmacSha256Hex(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> out {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(data.data()), data.size(), out.data(), &size);
    return detail::toHex(out.data(), size);
}

bool constantTimeEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

Random makeRandom()
{
    std::random_device device;
    return Random((static_cast<uint64_t>(device()) << 32) | device());
}

std::string randomId(Random& random)
{
    std::array<uint64_t, 2> words { random(), random() };
    return detail::toHex(reinterpret_cast<const unsigned char*>(words.data()), sizeof(words));
}

} // namespace turmericwing
