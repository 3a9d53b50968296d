#include "Programs/ConfigurationReader.h"

#include "Config/ConfigurationHead.h"
#include "Net/StoreClient.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Nutmegrill {

namespace {

/// A configuration has to be in force within 11 s at the size to design for. 18 relays make four
/// of these reads a second.
constexpr std::chrono::seconds HeadCheckPeriod(5);

} // namespace

void ConfigurationReader::read(const Done &done)
{
    this->store.read(std::string(ConfigurationHead::Key), [this, done](const StoreResult &result) {
        if (!result.isOk() || result.keyValues.empty())
            done(nullptr);
        else
            this->readChunks(result.keyValues.front().value, done);
    });
}

void ConfigurationReader::watch(const Done &done)
{
    if (std::exchange(this->watching, true))
        return;
    this->store.read(std::string(ConfigurationHead::Key), [this, done](const StoreResult &result) {
        if (!result.isOk()) {
            this->watching = false;
            done(nullptr);
            return;
        }
        this->headRevision = 0;
        this->headChanged(result, done);
        this->store.watch(
                std::string(ConfigurationHead::Key), result.revision,
                [this, done](const StoreResult &change) { this->headChanged(change, done); },
                [this, done] {
                    this->watching = false;
                    this->checkTimer.reset();
                    done(nullptr);
                });
        this->checkTimer =
                this->loop.every(HeadCheckPeriod, [this, done] { this->checkHead(done); });
    });
}

void ConfigurationReader::checkHead(const Done &done)
{
    this->store.read(std::string(ConfigurationHead::Key), [this, done](const StoreResult &result) {
        if (this->watching)
            this->headChanged(result, done);
    });
}

void ConfigurationReader::headChanged(const StoreResult &result, const Done &done)
{
    if (!result.isOk() || result.keyValues.empty()
        || result.keyValues.front().modRevision <= this->headRevision)
        return;
    this->headRevision = result.keyValues.front().modRevision;
    this->readChunks(result.keyValues.front().value, done);
}

void ConfigurationReader::readChunks(const std::string &head, const Done &done)
{
    struct Progress
    {
        ConfigurationHead head;
        std::map<std::string, std::string> chunks;
        std::size_t missingChunks = 0;
        bool failed = false;
    };
    auto decoded = decodeHead(head);
    if (!decoded.has_value()) {
        done(nullptr);
        return;
    }
    auto progress = std::make_shared<Progress>();
    progress->head = std::move(*decoded);
    progress->missingChunks = progress->head.chunks.size();
    for (const std::string &hash : progress->head.chunks) {
        this->store.read(chunkKey(hash), [progress, hash, done](const StoreResult &result) {
            if (result.isOk() && !result.keyValues.empty())
                progress->chunks[hash] = result.keyValues.front().value;
            else
                progress->failed = true;
            if (--progress->missingChunks > 0)
                return;
            std::optional<Configuration> joined;
            if (!progress->failed)
                joined = joinChunks(progress->head, progress->chunks);
            done(joined.has_value() ? std::make_shared<Configuration>(std::move(*joined))
                                    : nullptr);
        });
    }
}

} // namespace Nutmegrill
