#include "platform/answers_p.h"

namespace Galenarock
{

namespace
{
using nlohmann::json;

Result<json> parseJson(const std::string &text)
{
    auto value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return fail(ErrorCode::MalformedJson, text.substr(0, 120));
    }
    return value;
}

Result<std::uint64_t> unsignedField(const json &object, const char *name)
{
    const auto it = object.is_object() ? object.find(name) : object.end();
    if (it == object.end() || !it->is_number_unsigned()) {
        return fail(ErrorCode::MissingField, name);
    }
    return it->get<std::uint64_t>();
}

Result<std::uint64_t> versionOf(const std::string &response)
{
    BOOST_LEAF_AUTO(value, parseJson(response));
    return unsignedField(value, "version");
}

Result<StoredObject> currentOf(const std::string &response)
{
    BOOST_LEAF_AUTO(value, parseJson(response));
    const auto it = value.is_object() ? value.find("current") : value.end();
    if (it == value.end()) {
        return fail(ErrorCode::MissingField, "current");
    }
    return storedObjectFromJson(*it);
}

void fillApplied(const HttpCall &call, WriteResultEvent &event)
{
    // A damaged 200 leaves the version unknown; the writer reads the object again.
    const auto version = tryOr([&] { return versionOf(call.response); },
                               [](ErrorCode, const std::string &) { return std::uint64_t(0); });
    if (version == 0) {
        event.status = WriteStatus::Unknown;
        return;
    }
    event.status = WriteStatus::Applied;
    event.current = StoredObject{call.key, version, call.write.writer, call.write.value};
}
}

WriteResultEvent writeResultOf(const HttpCall &call)
{
    WriteResultEvent event{call.key, call.write.writer, call.sentAt, WriteStatus::Unknown, {}};
    if (!call.isSent) {
        event.status = WriteStatus::NotSent;
        return event;
    }
    if (call.code != CURLE_OK) {
        return event;
    }
    if (call.status == 200) {
        fillApplied(call, event);
    } else if (call.status == 409) {
        event.status = WriteStatus::Conflict;
        event.current = tryOr([&] { return currentOf(call.response); },
                              [&](ErrorCode, const std::string &) {
                                  return StoredObject{call.key, 0, 0, {}};
                              });
    } else if (call.status == 503 || (call.status >= 400 && call.status < 500 && call.status != 408)) {
        event.status = WriteStatus::NotSent;
    }
    return event;
}

Result<ObjectList> objectListOf(const std::string &response)
{
    BOOST_LEAF_AUTO(value, parseJson(response));
    ObjectList list;
    BOOST_LEAF_ASSIGN(list.revision, unsignedField(value, "revision"));
    const auto items = value.find("items");
    if (items == value.end() || !items->is_array()) {
        return fail(ErrorCode::MissingField, "items");
    }
    for (const auto &it : *items) {
        BOOST_LEAF_AUTO(object, storedObjectFromJson(it));
        list.items.push_back(std::move(object));
    }
    return list;
}

Result<StoredObject> storedObjectOf(const std::string &response)
{
    BOOST_LEAF_AUTO(value, parseJson(response));
    return storedObjectFromJson(value);
}

Result<VmList> vmListOf(const std::string &response)
{
    BOOST_LEAF_AUTO(value, parseJson(response));
    return vmListFromJson(value);
}

}
