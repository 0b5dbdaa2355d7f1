#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <galenarock/control.h>
#include <galenarock/error.h>
#include <galenarock/platform.h>

/// Wire format of calls to an object store and of their responses. The client's transport, call budget, back-off and
/// watches are the same for every store; a StoreDialect supplies the paths and JSON shapes.
namespace Galenarock
{

/// One HTTP call.
struct StoreCall
{
    std::string method = "GET";
    /// Path with query, percent-encoded.
    std::string path;
    /// JSON text; empty for none.
    std::string body;

    friend bool operator==(const StoreCall &a, const StoreCall &b)
    {
        return a.method == b.method && a.path == b.path && a.body == b.body;
    }
};

/// Objects of a kind: one page of a list, or the changes that a watch returned.
struct ObjectPage
{
    /// Revision of the store from which a watch continues.
    std::uint64_t revision = 0;
    std::vector<StoredObject> items;
    /// Watches: objects that were removed.
    std::vector<ObjectKey> removed;
    /// Lists: name after which the next page starts; empty on the last page.
    std::string nextAfter;
    /// Findings for the items that could not be decoded; the other items are valid.
    Findings skipped;
};

struct StoreDialect
{
    std::function<StoreCall(const ObjectKey &key)> read;
    std::function<StoreCall(const std::string &kind, const std::string &after)> list;
    std::function<StoreCall(const std::string &kind, std::uint64_t revision, Duration wait)> watch;
    /// A cheap call that the store answers at once; any status shows that the store responds. May be empty: then a
    /// silent store is found out by the watches alone.
    std::function<StoreCall()> heartbeat;
    /// Create, conditional replace or removal.
    std::function<StoreCall(const WriteObjectAction &write)> write;

    /// Name of the response header with the store's era; empty for a store without eras.
    std::string eraHeader;

    std::function<Result<ObjectPage>(const std::string &kind, const std::string &body)> decodeList;
    std::function<Result<ObjectPage>(const std::string &kind, const std::string &body)> decodeWatch;
    std::function<Result<StoredObject>(const ObjectKey &key, const std::string &body)> decodeObject;
    /// Version after an acknowledged write.
    std::function<Result<std::uint64_t>(const std::string &body)> decodeWritten;
    /// The stored object that a refused conditional write returned.
    std::function<Result<StoredObject>(const ObjectKey &key, const std::string &body)> decodeConflict;
};

/// Dialect of the project's own platform, docs/design.md section 6.1.
StoreDialect nativeStoreDialect();

/// Percent-encodes `text` as a path segment or query value.
std::string escapeSegment(const std::string &text);

}
