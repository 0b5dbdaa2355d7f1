#pragma once

#include <functional>
#include <optional>
#include <vector>

#include <galenarock/platform.h>

#include "http_p.h"

namespace Galenarock::Ctl
{

/// System functions that the commands use; tests replace them.
struct Context
{
    HttpCall http = callWithCurl;
    std::function<std::uint64_t()> nonce = randomNonce;
    std::function<void(milliseconds)> sleepFor;
    std::function<WallMilliseconds()> now = wallClockNow;
    std::function<Result<std::string>(const std::string &path)> readFile;
};

/// Context that uses libcurl, the system clock and the file system.
Context systemContext();

/// Result of a conditional update, after lost responses were resolved.
struct WriteOutcome
{
    /// Applied, Conflict or Unknown; other failures are returned as errors.
    WriteStatus status = WriteStatus::Unknown;
    /// Version that was written; 0 unless `status` is Applied.
    std::uint64_t version = 0;
    std::uint64_t writer = 0;
    /// Stored object, for Conflict (version 0 if none is stored) and for Unknown if newer versions were found.
    StoredObject current;
};

/// Client of the platform's object API (docs/design.md, section 6.1).
class ObjectClient
{
public:
    ObjectClient(const Context &context, Endpoint platform)
        : m_context(context)
        , m_platform(std::move(platform))
    {
    }

    /// NotFound when no such object is stored.
    Result<StoredObject> read(const ObjectKey &key) const;
    Result<std::vector<StoredObject>> list(const std::string &kind) const;

    /// Conditional update; `expectedVersion` 0 creates.
    ///
    /// If a response is lost, the object is read again and its writer nonce compared. While the version is unchanged,
    /// the same update is sent again with the same nonce: the version condition lets at most one of them take effect,
    /// and once a higher version is stored, none of the others can take effect any more.
    Result<WriteOutcome> write(const ObjectKey &key, std::uint64_t expectedVersion, const nlohmann::json &value,
                               const std::string &team) const;

private:
    HttpReply call(HttpRequest request) const;
    /// Outcome of an update according to the stored object; empty while the update may still take effect.
    static std::optional<WriteOutcome> outcomeFrom(const StoredObject &stored, std::uint64_t expectedVersion,
                                                   std::uint64_t writer, bool wasResponseLost);
    /// Like read(), but a missing object is returned as one with version 0.
    Result<StoredObject> readOrAbsent(const ObjectKey &key) const;

    const Context &m_context;
    Endpoint m_platform;
};

}
