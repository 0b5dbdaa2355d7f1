#pragma once

#include <functional>
#include <optional>
#include <vector>

#include <galenarock/platform.h>

#include "http_p.h"

namespace Galenarock::Ctl
{

/// What the commands need from outside; tests pass their own.
struct Context
{
    HttpCall http = callByCurl;
    std::function<std::uint64_t()> nonce = randomNonce;
    std::function<void(milliseconds)> pause;
    std::function<WallMilliseconds()> now = wallClockNow;
    std::function<Result<std::string>(const std::string &path)> readFile;
};

/// Context with libcurl, the clocks and the file system.
Context systemContext();

/// What became of a conditional update after lost answers were resolved.
struct WriteOutcome
{
    /// Applied, Conflict or Unknown; all else is an error.
    WriteStatus status = WriteStatus::Unknown;
    /// Version that was written.
    std::uint64_t version = 0;
    std::uint64_t writer = 0;
    /// Conflict: the stored object; version 0 when none is stored.
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
    /// When an answer is lost, the object is read again and the writer nonce compared. While the version has not
    /// changed, the same update is sent again under the same nonce: the condition lets at most one of them take effect,
    /// and a higher version rules out a late effect of the others.
    Result<WriteOutcome> write(const ObjectKey &key, std::uint64_t expectedVersion, const nlohmann::json &value,
                               const std::string &team) const;

private:
    HttpReply call(HttpRequest request) const;
    /// The outcome that the stored object proves; empty while the update may still take effect.
    static std::optional<WriteOutcome> outcomeFrom(const StoredObject &stored, std::uint64_t expectedVersion,
                                                   std::uint64_t writer, bool wasLost);
    Result<StoredObject> readOrAbsent(const ObjectKey &key) const;

    const Context &m_context;
    Endpoint m_platform;
};

}
