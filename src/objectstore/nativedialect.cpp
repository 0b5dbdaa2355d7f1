#include <galenarock/storedialect.h>

#include <fmt/format.h>

#include <curl/curl.h>

#include <galenarock/jsontext.h>
#include <galenarock/readablejson.h>
#include <galenarock/storeclient.h>

#include "objectstore/answers_p.h"

namespace Galenarock
{

namespace
{
using nlohmann::json;

std::string objectsPath(const std::string &kind)
{
    return "/v1/objects/" + escapeSegment(kind);
}

StoreCall readCall(const ObjectKey &key)
{
    return {"GET", fmt::format("{}/{}", objectsPath(key.kind), escapeSegment(key.name)), {}};
}

StoreCall watchCall(const std::string &kind, std::uint64_t revision, Duration wait)
{
    const auto path = fmt::format("/v1/watch?kind={}&since={}&timeoutMs={}", escapeSegment(kind), revision,
                                  duration_cast<milliseconds>(wait).count());
    return {"GET", path, {}};
}

StoreCall writeCall(const WriteObjectAction &write)
{
    const json body{
        {"expectedVersion", write.expectedVersion}, {"writer", std::to_string(write.writer)}, {"value", write.value}};
    return {"PUT", fmt::format("{}/{}", objectsPath(write.key.kind), escapeSegment(write.key.name)), jsonText(body)};
}

/// Adds the item to the page, or a finding if it cannot be decoded.
void addItem(const json &item, const std::string &place, ObjectPage &page)
{
    tryOr(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(object, storedObjectFromJson(item));
            page.items.push_back(std::move(object));
            return {};
        },
        [&](ErrorCode code, const std::string &detail) {
            page.skipped.push_back({code, place, detail});
        });
}

Result<ObjectPage> decodePage(const std::string &body)
{
    BOOST_LEAF_AUTO(readable, parseReadableJson(body));
    const auto &value = readable.value;
    ObjectPage page;
    page.skipped = readable.unreadable;
    BOOST_LEAF_ASSIGN(page.revision, unsignedField(value, "revision"));
    const auto items = value.find("items");
    if (items == value.end() || !items->is_array()) {
        return fail(ErrorCode::MissingField, "items");
    }
    for (std::size_t n = 0; n < items->size(); ++n) {
        const auto place = fmt::format("/items/{}", n);
        if (readable.isReadable(place)) {
            addItem((*items)[n], place, page);
        }
    }
    return page;
}

Result<StoredObject> decodeConflict(const std::string &body)
{
    BOOST_LEAF_AUTO(value, parseJson(body));
    const auto it = value.is_object() ? value.find("current") : value.end();
    if (it == value.end()) {
        return fail(ErrorCode::MissingField, "current");
    }
    return storedObjectFromJson(*it);
}
}

std::string escapeSegment(const std::string &text)
{
    char *escaped = curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
    const std::string result = escaped == nullptr ? std::string() : escaped;
    curl_free(escaped);
    return result;
}

StoreDialect nativeStoreDialect()
{
    StoreDialect dialect;
    dialect.read = readCall;
    dialect.list = [](const std::string &kind, const std::string &) {
        return StoreCall{"GET", objectsPath(kind), {}};
    };
    dialect.watch = watchCall;
    dialect.write = writeCall;
    dialect.decodeList = [](const std::string &, const std::string &body) {
        return decodePage(body);
    };
    dialect.decodeWatch = dialect.decodeList;
    dialect.decodeObject = [](const ObjectKey &, const std::string &body) -> Result<StoredObject> {
        BOOST_LEAF_AUTO(value, parseJson(body));
        return storedObjectFromJson(value);
    };
    dialect.decodeWritten = [](const std::string &body) -> Result<std::uint64_t> {
        BOOST_LEAF_AUTO(value, parseJson(body));
        return unsignedField(value, "version");
    };
    dialect.decodeConflict = [](const ObjectKey &, const std::string &body) {
        return decodeConflict(body);
    };
    return dialect;
}

}
