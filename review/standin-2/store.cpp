#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string_view>

#include <sys/socket.h>

namespace Review
{

namespace
{
using nlohmann::json;

constexpr std::int64_t LongestWatchMs = 30'000;
constexpr std::int64_t IdleMs = 60'000;
constexpr std::string_view ObjectsPath = "/objects/";

std::uint64_t queryNumber(const std::string &query, const std::string &name)
{
    const auto at = ("&" + query).find("&" + name + "=");
    return at == std::string::npos ? 0 : std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

std::string reasonPhrase(int status)
{
    return status == 200 ? "OK" : status == 404 ? "Not Found" : status == 409 ? "Conflict" : "Error";
}
}

Store::Store(const std::string &ip)
{
    auto [socket, port] = listenOn(ip);
    m_listener = std::move(socket);
    m_address = {ip, port};
    m_thread = std::thread([this] { accept(); });
}

void Store::accept()
{
    for (;;) {
        Socket socket(::accept4(m_listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
        if (socket.isOpen()) {
            std::thread([this, it = std::move(socket)]() mutable { serve(std::move(it)); }).detach();
        }
    }
}

void Store::serve(Socket socket)
{
    Reader reader(socket.fd());
    Head head;
    while (reader.readHead(head, nowMs() + IdleMs) == ReadResult::Done) {
        std::string body;
        if (reader.readBody(head, body, nowMs() + IdleMs) != ReadResult::Done) {
            return;
        }
        const bool isTaken = !m_isSilent;
        const auto result = isTaken ? answer(head.word(0), head.word(1), body) : Answer();
        if (!isTaken || m_isSilent) {
            ++m_unanswered;
            // The peer closes when its own time is over.
            reader.readHead(head, nowMs() + IdleMs);
            return;
        }
        const auto text = result.body.dump();
        const auto message = "HTTP/1.1 " + std::to_string(result.status) + " " + reasonPhrase(result.status)
            + "\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size())
            + "\r\n\r\n" + text;
        if (!sendAll(socket.fd(), message, nowMs() + IdleMs)) {
            return;
        }
    }
}

Store::Answer Store::answer(const std::string &method, const std::string &target, const std::string &body)
{
    const auto path = target.substr(0, target.find('?'));
    const auto query = target.size() > path.size() ? target.substr(path.size() + 1) : std::string();
    if (path.compare(0, ObjectsPath.size(), ObjectsPath) != 0) {
        return {404, json::object()};
    }
    const auto rest = path.substr(ObjectsPath.size());
    const auto kind = rest.substr(0, rest.find('/'));
    const auto name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : std::string();
    std::unique_lock lock(m_mutex);
    if (method != "GET") {
        return write(method, kind, name, query, json::parse(body, nullptr, false));
    }
    if (!name.empty()) {
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? Answer{404, json::object()} : Answer{200, found->second};
    }
    return query.find("watch=") == std::string::npos ? list(kind) : watch(lock, kind, query);
}

Store::Answer Store::list(const std::string &kind) const
{
    auto items = json::array();
    const auto found = m_objects.find(kind);
    if (found != m_objects.end()) {
        for (const auto &[name, object] : found->second) {
            items.push_back(object);
        }
    }
    return {200, {{"items", items}, {"more", false}, {"currentRev", m_revision}}};
}

Store::Answer Store::watch(std::unique_lock<std::mutex> &lock, const std::string &kind, const std::string &query)
{
    const auto from = queryNumber(query, "watch");
    const auto waitMs = std::min<std::uint64_t>(queryNumber(query, "waitMs"), LongestWatchMs);
    auto events = json::array();
    const auto collect = [&] {
        for (const auto &it : m_events) {
            if (it.kind == kind && it.revision > from) {
                events.push_back({{"tombstone", it.isTombstone}, {"object", it.object}});
            }
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    return {200, {{"events", events}, {"currentRev", m_revision}}};
}

Store::Answer Store::write(const std::string &method, const std::string &kind, const std::string &name,
                           const std::string &query, const json &value)
{
    const bool hasMetadata = value.is_object() && value.contains("metadata");
    const auto key = method == "POST" && hasMetadata ? value["metadata"].value("name", "") : name;
    auto &objects = m_objects[kind];
    const auto found = objects.find(key);
    if (method == "POST" && found != objects.end()) {
        return {409, found->second};
    }
    if (method != "POST" && found == objects.end()) {
        return {404, json::object()};
    }
    const auto expected =
        hasMetadata ? value["metadata"].value("revision", std::uint64_t(0)) : queryNumber(query, "revision");
    if (method != "POST" && expected != 0 && found->second["metadata"]["revision"] != expected) {
        return {409, found->second};
    }
    return method == "DELETE" ? erase(kind, key) : store(kind, key, value.value("spec", json()));
}

Store::Answer Store::store(const std::string &kind, const std::string &name, const json &spec)
{
    auto &object = m_objects[kind][name];
    if (object.is_object() && object["spec"] == spec) {
        return {200, object};
    }
    const auto created = object.is_object() ? object["metadata"]["createRevision"] : json(m_revision + 1);
    object = {{"metadata",
               {{"name", name},
                {"revision", ++m_revision},
                {"createRevision", created},
                {"finalizers", json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
    m_events.push_back({m_revision, kind, false, object});
    m_changed.notify_all();
    return {200, object};
}

Store::Answer Store::erase(const std::string &kind, const std::string &name)
{
    const auto object = m_objects[kind][name];
    m_objects[kind].erase(name);
    m_events.push_back({++m_revision, kind, true, object});
    m_changed.notify_all();
    return {200, object};
}

void Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard lock(m_mutex);
    store(kind, name, spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    erase(kind, name);
}

}
