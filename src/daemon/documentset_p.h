#pragma once

#include <map>
#include <string>
#include <vector>

#include <galenarock/document.h>
#include <galenarock/platform.h>

namespace Galenarock
{

/// The service documents in effect on this daemon. Versions never fall.
class DocumentSet
{
public:
    /// True when the object is a newer, valid document. An invalid one is logged and the older one stays in effect.
    bool apply(const StoredObject &object);
    std::vector<ServiceDocument> documents() const;
    /// JSON object: service name to version in effect.
    nlohmann::json versions() const;

private:
    struct Entry
    {
        std::uint64_t seenVersion = 0;
        std::uint64_t version = 0;
        ServiceDocument document;
    };
    std::map<std::string, Entry> m_entries;
};

}
