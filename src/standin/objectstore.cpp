#include "objectstore_p.h"

#include <algorithm>

#include <fmt/format.h>

#include <galenarock/jsontext.h>

namespace Galenarock::Standin
{

namespace
{
std::string teamOf(const nlohmann::json &document)
{
    if (!document.is_object()) {
        return {};
    }
    const auto it = document.find("team");
    return it != document.end() && it->is_string() ? it->get<std::string>() : std::string();
}
}

const ObjectVersion *ObjectStore::find(const History &history, Instant asOf)
{
    const auto it =
        std::find_if(history.rbegin(), history.rend(), [&](const auto &it) { return it.writtenAt <= asOf; });
    return it == history.rend() ? nullptr : &*it;
}

nlohmann::json ObjectStore::toJson(const ObjectKey &key, const ObjectVersion &version)
{
    return {{"kind", key.kind},
            {"name", key.name},
            {"version", version.version},
            {"writer", version.writer},
            {"value", version.value}};
}

void ObjectStore::prune(History &history, Instant now)
{
    // The newest version that is older than the limit still answers the stalest read.
    while (history.size() > 1 && history[1].writtenAt + historyLength < now) {
        history.erase(history.begin());
    }
}

std::string ObjectStore::teamFinding(const ObjectWrite &write, const ObjectVersion *current) const
{
    if (write.key.kind != ObjectKind::Service) {
        return {};
    }
    if (write.team.empty()) {
        return "documents are written by a team; header X-Team is missing";
    }
    const auto owner = teamOf(current == nullptr ? write.value : current->value);
    if (owner == write.team) {
        return {};
    }
    return fmt::format("document {} belongs to team '{}', not to '{}'", write.key.name, owner, write.team);
}

ObjectWriteResult ObjectStore::write(Instant now, const ObjectWrite &write)
{
    ObjectWriteResult result;
    const auto it = m_objects.find(write.key);
    const auto *current = it == m_objects.end() ? nullptr : &it->second.back();
    if (jsonText(write.value).size() > maxValueBytes) {
        result.status = ObjectWriteResult::Status::TooLarge;
        return result;
    }
    result.detail = teamFinding(write, current);
    if (!result.detail.empty()) {
        result.status = ObjectWriteResult::Status::WrongTeam;
        return result;
    }
    const auto version = current == nullptr ? 0 : current->version;
    if (version != write.expectedVersion) {
        result.status = ObjectWriteResult::Status::Conflict;
        result.current = current == nullptr ? nlohmann::json() : toJson(write.key, *current);
        return result;
    }
    result.version = version + 1;
    m_writeTimes.emplace(++m_revision, now);
    auto &history = m_objects[write.key];
    history.push_back({result.version, m_revision, now, write.writer, write.value});
    prune(history, now);
    while (m_writeTimes.size() > 1 && m_writeTimes.begin()->second + historyLength < now) {
        m_writeTimes.erase(m_writeTimes.begin());
    }
    return result;
}

nlohmann::json ObjectStore::read(const ObjectKey &key, Instant asOf) const
{
    const auto it = m_objects.find(key);
    if (it == m_objects.end()) {
        return {};
    }
    const auto *version = find(it->second, asOf);
    return version == nullptr ? nlohmann::json() : toJson(key, *version);
}

ObjectList ObjectStore::list(const std::string &kind, std::uint64_t since, Instant asOf) const
{
    ObjectList list;
    for (const auto &[revision, writtenAt] : m_writeTimes) {
        if (writtenAt > asOf) {
            break;
        }
        list.revision = revision;
    }
    for (auto it = m_objects.lower_bound({kind, ""}); it != m_objects.end() && it->first.kind == kind; ++it) {
        const auto *version = find(it->second, asOf);
        if (version == nullptr || version->revision <= since) {
            continue;
        }
        list.items.push_back(toJson(it->first, *version));
    }
    return list;
}

}
