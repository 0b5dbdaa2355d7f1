#pragma once

#include <string>
#include <vector>

#include "transfers_p.h"

namespace Galenarock::Standin
{

/// The entry addresses as the platform's balancer treats them: in turn, without those that are not ready.
class EntrySet
{
public:
    /// `readiness` are the admin addresses in the order of `entries`, or empty.
    EntrySet(EventLoop &loop, Transfers &transfers, std::vector<std::string> entries,
             std::vector<std::string> readiness);

    /// Starts the readiness checks.
    void start();
    /// Index of the entry for the next request; a ready one if there is any.
    std::size_t next();
    const std::string &address(std::size_t entry) const
    {
        return m_entries[entry];
    }
    std::size_t size() const
    {
        return m_entries.size();
    }
    /// A connection was refused: the entry is passed over until its next check, or for `refusedPause`.
    void noteRefused(std::size_t entry);

private:
    void check();
    bool isUsable(std::size_t entry) const;

    EventLoop &m_loop;
    Transfers &m_transfers;
    std::vector<std::string> m_entries;
    std::vector<std::string> m_readiness;
    std::vector<char> m_ready;
    std::vector<Instant> m_refusedUntil;
    std::size_t m_next = 0;
};

}
