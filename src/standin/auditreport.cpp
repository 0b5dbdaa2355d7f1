#include <fmt/format.h>

#include "audit_p.h"

namespace Galenarock::Standin
{

namespace
{
nlohmann::json toJson(const ServiceCounts &counts)
{
    return {{"requests", counts.requests}, {"answered", counts.answered}, {"notRun", counts.notRun},
            {"unknown", counts.unknown},   {"resent", counts.resent},     {"reasons", counts.reasons}};
}

nlohmann::json toJson(const ServiceMeasures &measures)
{
    return {{"servers", measures.servers},
            {"loadImbalance", measures.loadImbalance},
            {"keyImbalance", measures.keyImbalance},
            {"keysServed", measures.keysServed},
            {"keyMoves", measures.keyMoves},
            {"longestUnavailableSeconds", measures.longestUnavailableSeconds},
            {"totalUnavailableSeconds", measures.totalUnavailableSeconds},
            {"keyUnavailableAtMostSeconds", measures.keyUnavailableAtMostSeconds}};
}

std::string reasonsText(const std::map<std::string, std::uint64_t> &reasons)
{
    std::string text;
    for (const auto &[name, n] : reasons) {
        text += fmt::format(" {}={}", name, n);
    }
    return text;
}
}

nlohmann::json toJson(const AuditReport &report)
{
    nlohmann::json json{{"doubled", report.doubled},
                        {"mixedUp", report.mixedUp},
                        {"cut", report.cut},
                        {"falseNotRun", report.falseNotRun},
                        {"staleOwnerRuns", report.staleOwnerRuns},
                        {"answeredWithoutRun", report.answeredWithoutRun},
                        {"faults", report.faults()},
                        {"journalEntries", report.journalEntries},
                        {"foreignEntries", report.foreignEntries},
                        {"journalsComplete", report.journalsComplete},
                        {"examples", report.examples}};
    for (const auto &[name, it] : report.counts) {
        json["services"][name]["counts"] = toJson(it);
    }
    for (const auto &[name, it] : report.measures) {
        json["services"][name]["measures"] = toJson(it);
    }
    return json;
}

std::string toText(const AuditReport &report)
{
    std::string text = "outcomes\n";
    for (const auto &[name, it] : report.counts) {
        text += fmt::format("  {:<13} {:>8} requests {:>8} answered {:>6} not-run {:>6} unknown {:>6} re-sent {}\n",
                            name, it.requests, it.answered, it.notRun, it.unknown, it.resent, reasonsText(it.reasons));
    }
    text += "measures\n";
    for (const auto &[name, it] : report.measures) {
        text += fmt::format("  {:<13} imbalance: load {:.2f}, keys {:.2f} over {} servers; churn: {} key moves of {} "
                            "keys; unavailable: longest {:.2f} s, sum {:.2f} s, a single key at most {:.2f} s\n",
                            name, it.loadImbalance, it.keyImbalance, it.servers, it.keyMoves, it.keysServed,
                            it.longestUnavailableSeconds, it.totalUnavailableSeconds, it.keyUnavailableAtMostSeconds);
    }
    text += fmt::format("audit: doubled {}, mixed up {}, cut {}, false not-run {}, stale owner {}, answered without "
                        "run {}; {} journal entries, journals {}\n",
                        report.doubled, report.mixedUp, report.cut, report.falseNotRun, report.staleOwnerRuns,
                        report.answeredWithoutRun, report.journalEntries,
                        report.journalsComplete ? "complete" : "incomplete");
    for (const auto &it : report.examples) {
        text += fmt::format("  {}\n", it);
    }
    return text;
}

}
