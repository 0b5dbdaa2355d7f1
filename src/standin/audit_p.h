#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "journal_p.h"
#include "requestrecord_p.h"
#include "workload_p.h"

namespace Galenarock::Standin
{

/// A server that could have received requests, for the imbalance.
struct KnownServer
{
    std::string name;
    std::string service;
};

/// The three measures of one service.
struct ServiceMeasures
{
    /// Max / mean over the servers.
    double loadImbalance = 0;
    double keyImbalance = 0;
    std::uint64_t servers = 0;
    std::uint64_t keysServed = 0;
    /// Changes of a key's server from one run to the next.
    std::uint64_t keyMoves = 0;
    /// Spans in which requests of the service failed, by intended start. Failures at most 1 s apart are one span, since
    /// the requests in between may be for other keys.
    double longestUnavailableSeconds = 0;
    double totalUnavailableSeconds = 0;
    /// Upper bound for a single key (keyed services): longest time from its first failed request to its next answered
    /// one, which for a rarely requested key comes late.
    double keyUnavailableAtMostSeconds = 0;
};

struct ServiceCounts
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t resent = 0;
    /// Refusals and unknown outcomes by reason.
    std::map<std::string, std::uint64_t> reasons;
};

struct AuditReport
{
    std::map<std::string, ServiceCounts> counts;
    std::map<std::string, ServiceMeasures> measures;
    std::uint64_t journalEntries = 0;
    /// Entries of other runs.
    std::uint64_t foreignEntries = 0;
    /// False when a journal was not read whole; doubled and falseNotRun are then lower bounds.
    bool journalsComplete = false;
    std::uint64_t doubled = 0;
    std::uint64_t mixedUp = 0;
    std::uint64_t cut = 0;
    std::uint64_t falseNotRun = 0;
    /// Runs that started on a server after a run of the same key under a later token had started on another one (G1).
    std::uint64_t staleOwnerRuns = 0;
    /// Answered although no journal shows a run.
    std::uint64_t answeredWithoutRun = 0;
    /// First cases of each fault, as text.
    std::vector<std::string> examples;

    std::uint64_t faults() const
    {
        return doubled + mixedUp + cut + falseNotRun + staleOwnerRuns + answeredWithoutRun;
    }
};

struct AuditInput
{
    std::string run;
    std::vector<MixEntry> mix;
    std::vector<RequestRecord> records;
    std::vector<JournalEntry> journal;
    std::vector<KnownServer> servers;
    bool journalsComplete = false;
};

/// Compares what callers were told with what the servers did. Pure.
AuditReport audit(const AuditInput &input);

nlohmann::json toJson(const AuditReport &report);
/// Summary for people, several lines.
std::string toText(const AuditReport &report);

}
