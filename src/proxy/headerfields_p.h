#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "upstream_p.h"

/// Helpers for the header fields of requests and responses.
namespace Galenarock
{

bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Whether the header describes the connection, not the message, and must not be forwarded (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view name);

/// Whether only this router may send the header to a backend server. `Galenarock-Test` is forwarded, since it controls
/// the stand-in server of the tests.
bool isInternal(std::string_view name);

/// Value of the first field with this name; empty when absent. Names are compared without case.
std::string_view fieldOf(const std::vector<HeaderField> &headers, std::string_view name);

/// Parses an unsigned decimal number; empty for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

}
