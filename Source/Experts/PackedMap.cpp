#include "Experts/PackedMap.h"

#include <algorithm>

namespace Nutmegrill {

namespace {

constexpr std::uint32_t ByteValues = 256;
constexpr std::size_t MaxWidth = 2;
/// Width, and two bytes each for the numbers of layers and ranks.
constexpr std::size_t HeaderSize = 5;

std::size_t widthOf(const ExpertSlots &map)
{
    for (const auto &layer : map) {
        for (const auto &rank : layer) {
            if (std::any_of(rank.begin(), rank.end(),
                            [](std::uint32_t expert) { return expert >= ByteValues; }))
                return 2;
        }
    }
    return 1;
}

void append(std::vector<std::uint8_t> &bytes, std::size_t number, std::size_t width)
{
    for (std::size_t index = 0; index < width; ++index, number /= ByteValues)
        bytes.push_back(static_cast<std::uint8_t>(number % ByteValues));
}

/// Reads numbers in turn and remembers whether the bytes sufficed.
class Reader
{
public:
    explicit Reader(const std::vector<std::uint8_t> &bytes) : bytes(bytes) {}

    std::uint32_t next(std::size_t width)
    {
        if (this->position + width > this->bytes.size()) {
            this->failed = true;
            return 0;
        }
        std::uint32_t number = 0;
        for (std::size_t index = width; index > 0; --index)
            number = number * ByteValues + this->bytes[this->position + index - 1];
        this->position += width;
        return number;
    }

    std::size_t remaining() const { return this->bytes.size() - this->position; }
    bool hasFailed() const { return this->failed; }

private:
    const std::vector<std::uint8_t> &bytes;
    std::size_t position = 0;
    bool failed = false;
};

} // namespace

std::size_t packedMapSize(const ExpertSlots &map)
{
    const std::size_t width = widthOf(map);
    std::size_t size = HeaderSize;
    for (const auto &layer : map) {
        for (const auto &rank : layer)
            size += 1 + rank.size() * width;
    }
    return size;
}

std::vector<std::uint8_t> packMap(const ExpertSlots &map)
{
    const std::size_t width = widthOf(map);
    std::vector<std::uint8_t> bytes;
    bytes.reserve(packedMapSize(map));
    append(bytes, width, 1);
    append(bytes, map.size(), 2);
    append(bytes, map.empty() ? 0 : map.front().size(), 2);
    for (const auto &layer : map) {
        for (const auto &rank : layer) {
            append(bytes, rank.size(), 1);
            for (const std::uint32_t expert : rank)
                append(bytes, expert, width);
        }
    }
    return bytes;
}

std::optional<ExpertSlots> unpackMap(const std::vector<std::uint8_t> &bytes)
{
    Reader reader(bytes);
    const std::size_t width = reader.next(1);
    const std::size_t layers = reader.next(2);
    const std::size_t ranks = reader.next(2);
    // Every rank of every layer takes a byte at least.
    if (width == 0 || width > MaxWidth || layers * ranks > reader.remaining())
        return std::nullopt;
    ExpertSlots map(layers, ExpertSlots::value_type(ranks));
    for (auto &layer : map) {
        for (auto &rank : layer) {
            const std::size_t count = reader.next(1);
            for (std::size_t index = 0; index < count && !reader.hasFailed(); ++index)
                rank.push_back(reader.next(width));
        }
    }
    if (reader.hasFailed() || reader.remaining() != 0)
        return std::nullopt;
    return map;
}

} // namespace Nutmegrill
