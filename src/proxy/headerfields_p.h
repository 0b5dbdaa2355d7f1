#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/responseheadreader_p.h"

/// Helpers for the header fields of requests and responses.
namespace Galenarock
{

/// Whether the header describes the connection, not the message, and must not be forwarded (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view name);

/// Whether only this router may send the header to a backend server. `Galenarock-Test` is forwarded, since it controls
/// the stand-in server of the tests.
bool isInternal(std::string_view name);

/// Reads the fields that a RequestDialect asks for, and notices those that occur with two values: each reader may take
/// another one of them.
class FieldReader
{
public:
    explicit FieldReader(const std::vector<HeaderField> &fields)
        : m_fields(fields)
    {
    }
    /// Value of the first field with this name; empty when absent.
    std::string_view operator()(const char *name);
    /// A field that was asked for has two values.
    bool isAmbiguous() const
    {
        return m_isAmbiguous;
    }

private:
    const std::vector<HeaderField> &m_fields;
    bool m_isAmbiguous = false;
};

/// Parses an unsigned decimal number; empty for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

}
