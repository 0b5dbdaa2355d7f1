#include "objects_p.h"

#include <charconv>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>

#include <galenarock/jsontext.h>

namespace Galenarock::Ctl
{

namespace
{
using nlohmann::json;

constexpr int maxWriteAttempts = 5;
constexpr milliseconds initialRetryDelay(100);

std::uint64_t writerFrom(const json &object)
{
    const auto it = object.find("writer");
    if (it == object.end()) {
        return 0;
    }
    if (it->is_number_unsigned()) {
        return it->get<std::uint64_t>();
    }
    std::uint64_t n = 0;
    if (it->is_string()) {
        const auto &text = it->get_ref<const std::string &>();
        std::from_chars(text.data(), text.data() + text.size(), n);
    }
    return n;
}

Result<StoredObject> objectFrom(const json &object)
{
    const bool isComplete = object.is_object() && object.contains("version") && object["version"].is_number_unsigned()
        && object.contains("value");
    if (!isComplete) {
        return fail(ErrorCode::MalformedMessage, "the platform sent an object without version or value");
    }
    StoredObject stored;
    stored.key = {object.value("kind", std::string()), object.value("name", std::string())};
    stored.version = object["version"].get<std::uint64_t>();
    stored.writer = writerFrom(object);
    stored.value = object["value"];
    return stored;
}

ErrorCode errorCodeOf(long status)
{
    switch (status) {
    case 0:
    case 503:
        return ErrorCode::Unavailable;
    case 403:
        return ErrorCode::NotAuthorized;
    case 404:
        return ErrorCode::NotFound;
    case 413:
        return ErrorCode::TooLarge;
    case 429:
        return ErrorCode::RateLimited;
    default:
        return ErrorCode::MalformedMessage;
    }
}

auto callError(const HttpReply &reply, const ObjectKey &key)
{
    const auto place = key.name.empty() ? key.kind : fmt::format("{}/{}", key.kind, key.name);
    if (reply.status == 0) {
        return fail(errorCodeOf(0), fmt::format("{}: {}", place, reply.error));
    }
    constexpr std::size_t maxShownBytes = 300;
    return fail(errorCodeOf(reply.status),
                fmt::format("{}: status {} {}", place, reply.status, reply.body.substr(0, maxShownBytes)));
}

std::string objectTarget(const ObjectKey &key)
{
    return fmt::format("/v1/objects/{}/{}", percentEncoded(key.kind), percentEncoded(key.name));
}

/// True if the reply does not show whether the update took effect; with status 429 and 503, it did not.
bool isOutcomeOpen(const HttpReply &reply)
{
    const bool isRejected = reply.status == 429 || reply.status == 503;
    return !isRejected && (reply.status >= 500 || (reply.status == 0 && reply.mayHaveBeenSent));
}

Result<std::string> readWholeFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(ErrorCode::NotFound, path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
}

Context systemContext()
{
    Context context;
    context.sleepFor = [](milliseconds duration) {
        std::this_thread::sleep_for(duration);
    };
    context.readFile = readWholeFile;
    return context;
}

HttpReply ObjectClient::call(HttpRequest request) const
{
    request.endpoint = m_platform;
    return m_context.http(request);
}

Result<StoredObject> ObjectClient::read(const ObjectKey &key) const
{
    HttpRequest request;
    request.target = objectTarget(key);
    const auto reply = call(std::move(request));
    if (reply.status != 200) {
        return callError(reply, key);
    }
    return objectFrom(json::parse(reply.body, nullptr, false));
}

Result<std::vector<StoredObject>> ObjectClient::list(const std::string &kind) const
{
    HttpRequest request;
    request.target = "/v1/objects/" + percentEncoded(kind);
    const auto reply = call(std::move(request));
    if (reply.status != 200) {
        return callError(reply, {kind, {}});
    }
    const auto body = json::parse(reply.body, nullptr, false);
    if (!body.is_object() || !body.contains("items") || !body["items"].is_array()) {
        return fail(ErrorCode::MalformedMessage, "the platform sent a list without items");
    }
    std::vector<StoredObject> objects;
    for (const auto &it : body["items"]) {
        BOOST_LEAF_AUTO(object, objectFrom(it));
        objects.push_back(std::move(object));
    }
    return objects;
}

Result<StoredObject> ObjectClient::readOrAbsent(const ObjectKey &key) const
{
    HttpRequest request;
    request.target = objectTarget(key);
    const auto reply = call(std::move(request));
    if (reply.status == 404) {
        StoredObject absent;
        absent.key = key;
        return absent;
    }
    if (reply.status != 200) {
        return callError(reply, key);
    }
    return objectFrom(json::parse(reply.body, nullptr, false));
}

std::optional<WriteOutcome> ObjectClient::outcomeFrom(const StoredObject &stored, std::uint64_t expectedVersion,
                                                      std::uint64_t writer, bool wasResponseLost)
{
    if (stored.writer == writer && stored.version > expectedVersion) {
        return WriteOutcome{WriteStatus::Applied, stored.version, writer, {}};
    }
    if (stored.version == expectedVersion) {
        return {};
    }
    // If two or more versions were stored since, the update without a response may have been one of the earlier ones.
    const bool isUndecided = wasResponseLost && stored.version > expectedVersion + 1;
    return WriteOutcome{isUndecided ? WriteStatus::Unknown : WriteStatus::Conflict, 0, writer, stored};
}

Result<WriteOutcome> ObjectClient::write(const ObjectKey &key, std::uint64_t expectedVersion, const json &value,
                                         const std::string &team) const
{
    const auto writer = m_context.nonce();
    const json body{{"expectedVersion", expectedVersion}, {"writer", std::to_string(writer)}, {"value", value}};
    const HttpRequest request{"PUT", {}, objectTarget(key), jsonText(body), team};
    bool wasResponseLost = false;
    milliseconds retryDelay = initialRetryDelay;
    for (int n = 0; n < maxWriteAttempts; ++n, retryDelay *= 2) {
        const auto reply = call(request);
        const auto json = json::parse(reply.body, nullptr, false);
        if (reply.status == 200 && json.is_object() && json.contains("version")) {
            return WriteOutcome{WriteStatus::Applied, json["version"].get<std::uint64_t>(), writer, {}};
        }
        if (reply.status == 409) {
            StoredObject current;
            if (json.is_object() && json.contains("current") && json["current"].is_object()) {
                BOOST_LEAF_ASSIGN(current, objectFrom(json["current"]));
            }
            return outcomeFrom(current, expectedVersion, writer, wasResponseLost)
                .value_or(WriteOutcome{WriteStatus::Conflict, 0, writer, current});
        }
        if (!isOutcomeOpen(reply) && !wasResponseLost) {
            return callError(reply, key);
        }
        wasResponseLost = true;
        m_context.sleepFor(retryDelay);
        auto stored = tryOr([&]() -> Result<std::optional<StoredObject>> { return readOrAbsent(key); },
                            [](ErrorCode, const std::string &) { return std::optional<StoredObject>(); });
        if (!stored) {
            continue;
        }
        if (auto outcome = outcomeFrom(*stored, expectedVersion, writer, wasResponseLost)) {
            return *std::move(outcome);
        }
    }
    return WriteOutcome{WriteStatus::Unknown, 0, writer, {}};
}

}
