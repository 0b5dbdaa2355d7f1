#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include <galenarock/base.h>

#include "httpserver_p.h"

namespace Galenarock::Standin
{

/// What became of a request that a backend server admitted to a slot.
enum class RunState : std::uint8_t
{
    /// The body is still arriving.
    Receiving,
    Running,
    Done,
    /// The body never arrived whole; nothing was done.
    Incomplete,
    /// Stopped by POST /cancel after work had begun.
    Cancelled,
    /// Stopped at its deadline after work had begun.
    DeadlinePassed,
    /// The server crashed while it worked.
    Crashed,
};

/// True when work was done, wholly or in part.
bool hasRun(RunState state);

struct JournalEntry
{
    std::string requestId;
    std::string key;
    std::string method;
    std::string target;
    std::string token;
    std::string service;
    std::string server;
    std::uint64_t boot = 0;
    /// Monotonic clock of the machine, so entries of several processes can be compared.
    Instant start;
    Instant end;
    std::uint64_t bytes = 0;
    std::string bodyHash;
    RunState state = RunState::Receiving;
};

nlohmann::json toJson(const JournalEntry &entry);
Result<JournalEntry> journalEntryFromJson(const nlohmann::json &json);

/// What ran on the servers of one process. It survives their simulated crashes.
class Journal
{
public:
    explicit Journal(std::size_t capacity = 4'000'000)
        : m_capacity(capacity)
    {
    }

    /// Returns the entry's number for at(). The oldest entry is dropped and counted when the journal is full.
    std::uint64_t add(JournalEntry entry);
    /// Null when the entry was dropped.
    JournalEntry *at(std::uint64_t number);

    /// All entries, or those of one server, as one JSON object a line; the last line is
    /// `{"end":true,"entries":n,"dropped":n}`, so that a reader recognises a cut journal.
    HttpResponse response(const std::string &server) const;

private:
    std::string line(std::uint64_t number, const std::string &server) const;

    std::size_t m_capacity;
    std::uint64_t m_dropped = 0;
    std::deque<JournalEntry> m_entries;
};

}
