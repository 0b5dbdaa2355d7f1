#pragma once

#include <string>

#include <galenarock/control.h>
#include <galenarock/ledger.h>

namespace Galenarock
{

namespace LedgerMessage
{
/// Request of a new owner to the former one for the records of a range.
inline constexpr std::uint16_t Fetch = PeerMessageRange::Requests + 1;
inline constexpr std::uint16_t Records = PeerMessageRange::Requests + 2;
}

std::string encode(const LedgerRange &range);
Result<LedgerRange> decodeLedgerRange(const std::string &payload);

/// Response bodies are left out above this size of the whole message, so that it fits a frame of 4 MB.
inline constexpr std::size_t maxHandoverBytes = 3'000'000;

std::string encode(const LedgerHandover &handover);
Result<LedgerHandover> decodeLedgerHandover(const std::string &payload);

}
