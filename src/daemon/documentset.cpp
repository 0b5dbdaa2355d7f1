#include "documentset_p.h"

#include "events_p.h"

namespace Galenarock
{

bool DocumentSet::apply(const StoredObject &object)
{
    auto &entry = m_entries[object.key.name];
    if (object.version <= entry.newestVersion) {
        return false;
    }
    entry.newestVersion = object.version;
    auto parsed = parseDocument(object.value);
    if (parsed.findings.empty() && parsed.document.service != object.key.name) {
        parsed.findings.push_back({ErrorCode::Contradiction, "/service", "differs from the object's name"});
    }
    if (!parsed.findings.empty()) {
        logEvent(Events::DocumentRefused, "service {} version {} is invalid and is ignored: {}", object.key.name,
                 object.version, toString(parsed.findings));
        return false;
    }
    entry.version = object.version;
    entry.document = std::move(parsed.document);
    logEvent(Events::ServiceAdopted, "service {} version {} is in effect", object.key.name, object.version);
    return true;
}

std::vector<ServiceDocument> DocumentSet::documents() const
{
    std::vector<ServiceDocument> list;
    for (const auto &[name, it] : m_entries) {
        if (it.version > 0) {
            list.push_back(it.document);
        }
    }
    return list;
}

nlohmann::json DocumentSet::versions() const
{
    auto json = nlohmann::json::object();
    for (const auto &[name, it] : m_entries) {
        json[name] = it.version;
    }
    return json;
}

}
