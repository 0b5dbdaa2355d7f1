#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "upstream_p.h"

/// Header fields of requests and responses.
namespace Galenarock
{

bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Headers of one hop; they describe the connection, not the message (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view name);

/// Headers that only this router may set towards a backend server. `Galenarock-Test` passes, since it addresses the
/// stand-in server of the tests.
bool isInternal(std::string_view name);

/// Value of the first field with this name, empty when absent.
std::string_view fieldOf(const std::vector<HeaderField> &headers, std::string_view name);

/// Decimal digits only; empty on anything else.
std::optional<std::uint64_t> parseNumber(std::string_view text);

}
