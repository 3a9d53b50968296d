#include "StandIns/Base64.h"
#include "StandIns/StandIn.h"

#include <openssl/evp.h>

namespace Nutmegrill {

std::string encodeBase64(const std::string &bytes)
{
    // EVP_EncodeBlock() adds a terminating null byte.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decodeBase64(const std::string &text)
{
    if (text.empty())
        return {};
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length =
            text.size() % 4 != 0
                    ? -1
                    : EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                      reinterpret_cast<const unsigned char *>(text.data()),
                                      static_cast<int>(text.size()));
    if (length < 0)
        throw StandInError(400, "illegal base64 data");
    // EVP_DecodeBlock() counts the padding as bytes.
    const std::size_t padding = text.size() - text.find_last_not_of('=') - 1;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace Nutmegrill
