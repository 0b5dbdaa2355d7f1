#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <galenarock/error.h>

/// JSON text of which some values cannot be read, as when several writers share a store.
namespace Galenarock
{

/// Maximum nesting depth of values that are read. Copies, comparisons and the destructor of a value take stack for each
/// level.
constexpr std::size_t maxJsonDepth = 64;

/// Parses a JSON text that must be readable as a whole and is nested at most maxJsonDepth levels deep.
Result<nlohmann::json> parseJson(std::string_view text);

/// The readable part of a JSON text.
struct ReadableJson
{
    nlohmann::json value;
    /// JSON pointers of the values that could not be read. `value` has null in their place; it lacks members whose
    /// name cannot be read.
    Findings unreadable;

    /// Whether the value at the JSON pointer `place` could be read with all that it contains.
    bool isReadable(const std::string &place) const;
};

/// Parses a JSON object. Numbers that are out of range, bytes that are not UTF-8, text that is not JSON and values
/// that are nested too deeply make only the innermost value unreadable that contains them. Fails if the text is not
/// enclosed in braces.
Result<ReadableJson> parseReadableJson(const std::string &text);

}
