// Base64 on top of OpenSSL.
#include "turmericwing/base/base64.h"

#include <openssl/evp.h>

namespace turmericwing {

std::string toBase64(const std::string& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(size));
    return text;
}

Result<std::string> fromBase64(const std::string& text)
{
    std::string bytes(3 * (text.size() / 4) + 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return makeError(ErrorCode::Invalid, "value is not valid base64");
    // EVP_DecodeBlock counts the padding as zero bytes.
    const size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(static_cast<size_t>(size) - padding);
    return bytes;
}

} // namespace turmericwing
