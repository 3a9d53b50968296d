#include "Net/Base64.h"

#include <algorithm>

#include <openssl/evp.h>

namespace Nutmegrill {

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    if (text.empty())
        return bytes;
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    // EVP_DecodeBlock counts the padding as zero bytes.
    const auto padding = std::count(text.end() - 2, text.end(), '=');
    bytes.resize(static_cast<std::size_t>(length - padding));
    return bytes;
}

} // namespace Nutmegrill
