#include "objectstore/answers_p.h"

#include <galenarock/readablejson.h>

namespace Galenarock
{

using nlohmann::json;

Result<std::uint64_t> unsignedField(const json &object, const char *name)
{
    const auto it = object.is_object() ? object.find(name) : object.end();
    if (it == object.end() || !it->is_number_unsigned()) {
        return fail(ErrorCode::MissingField, name);
    }
    return it->get<std::uint64_t>();
}

namespace
{

void setAppliedResult(const StoreDialect &dialect, const HttpCall &call, WriteResultEvent &event)
{
    // Without a valid version in a 200 response the outcome is unknown; the writer reads the object again.
    const auto version = tryOr([&] { return dialect.decodeWritten(call.response); },
                               [](ErrorCode, const std::string &) { return std::uint64_t(0); });
    if (version == 0) {
        event.status = WriteStatus::Unknown;
        return;
    }
    event.status = WriteStatus::Applied;
    event.current = StoredObject{call.key, version, call.write.writer, call.write.value};
}
}

WriteResultEvent decodeWriteResult(const StoreDialect &dialect, const HttpCall &call)
{
    WriteResultEvent event{call.key, call.write.writer, call.sentAt, WriteStatus::Unknown, {}};
    if (!call.isSent) {
        event.status = WriteStatus::NotSent;
        return event;
    }
    if (call.code != CURLE_OK) {
        return event;
    }
    if (call.isOk()) {
        setAppliedResult(dialect, call, event);
    } else if (call.status == 409) {
        event.status = WriteStatus::Conflict;
        event.current = tryOr([&] { return dialect.decodeConflict(call.key, call.response); },
                              [&](ErrorCode, const std::string &) {
                                  return StoredObject{call.key, 0, 0, {}};
                              });
    } else if (call.status == 404 && call.write.expectedVersion > 0) {
        event.status = WriteStatus::Conflict; // the object that the write is to replace does not exist
        event.current = StoredObject{call.key, 0, 0, {}};
    } else if (call.status == 503 || (call.status >= 400 && call.status < 500 && call.status != 408)) {
        event.status = WriteStatus::NotSent;
    }
    event.current.era = call.era;
    return event;
}

Result<VmList> parseVmList(const std::string &response)
{
    BOOST_LEAF_AUTO(value, parseJson(response));
    return vmListFromJson(value);
}

}
