#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include <galenarock/error.h>

/// JSON text of which some values cannot be read, as when several writers share a store.
namespace Galenarock
{

/// The readable part of a JSON text.
struct ReadableJson
{
    nlohmann::json value;
    /// JSON pointers of the values that could not be read. `value` has null in their place; it lacks members whose
    /// name cannot be read.
    Findings unreadable;
};

/// Parses a JSON object. Numbers that are out of range, bytes that are not UTF-8 and text that is not JSON make only
/// the innermost value unreadable that contains them. Fails if the text is not enclosed in braces.
Result<ReadableJson> parseReadableJson(const std::string &text);

}
