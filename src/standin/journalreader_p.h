#pragma once

#include <string>
#include <vector>

#include "audit_p.h"

namespace Galenarock::Standin
{

/// Journals and servers of several backend processes.
struct CollectedJournals
{
    std::vector<JournalEntry> entries;
    std::vector<KnownServer> servers;
    /// False when an address did not answer, a journal was cut, or entries had been dropped.
    bool isComplete = true;
    Findings findings;
};

/// Reads `GET /control/journal` and `GET /control/servers` of each `ip:port`.
CollectedJournals collectJournals(const std::vector<std::string> &addresses);

}
