#pragma once

#include <map>
#include <string>
#include <vector>

#include <galenarock/document.h>
#include <galenarock/platform.h>

namespace Galenarock
{

/// The service documents in effect on this daemon. A document is replaced only by a newer version.
class DocumentSet
{
public:
    /// True if the object is a newer, valid document. If it is invalid, this is logged and the older document stays in
    /// effect.
    bool apply(const StoredObject &object);
    std::vector<ServiceDocument> documents() const;
    /// JSON object: service name to version in effect.
    nlohmann::json versions() const;

private:
    struct Entry
    {
        /// Newest version received, valid or not.
        std::uint64_t newestVersion = 0;
        /// Version of `document`; 0 while no valid one was received.
        std::uint64_t version = 0;
        ServiceDocument document;
    };
    std::map<std::string, Entry> m_entries;
};

}
