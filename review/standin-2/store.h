#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.h"

namespace Review
{

/// The platform's metadata store (PROTOCOL.md): objects by kind and name, lists, watches and conditional writes.
/// Nothing in it fails, but that it can fall silent.
class Store
{
public:
    explicit Store(const std::string &ip);

    Endpoint address() const
    {
        return m_address;
    }
    /// What the operator or a server writes.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    /// While it is silent, calls that come or are due get no answer, and none later. Their connections live on.
    void setSilent(bool isSilent)
    {
        m_isSilent = isSilent;
    }
    std::size_t unanswered() const
    {
        return m_unanswered;
    }

private:
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        bool isTombstone = false;
        nlohmann::json object;
    };
    struct Answer
    {
        int status = 200;
        nlohmann::json body;
    };

    void accept();
    void serve(Socket socket);
    Answer answer(const std::string &method, const std::string &target, const std::string &body);
    Answer list(const std::string &kind) const;
    Answer watch(std::unique_lock<std::mutex> &lock, const std::string &kind, const std::string &query);
    Answer write(const std::string &method, const std::string &kind, const std::string &name, const std::string &query,
                 const nlohmann::json &value);
    Answer store(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    Answer erase(const std::string &kind, const std::string &name);

    Socket m_listener;
    Endpoint m_address;
    std::atomic<bool> m_isSilent{false};
    std::atomic<std::size_t> m_unanswered{0};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Event> m_events;
    std::thread m_thread;
};

}
