#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include <galenarock/jsontext.h>

/// JSON values as text: the only place where JSON is written.
namespace Galenarock
{

/// Text of `value`, in one line or indented by `indent` spaces a level. Bytes of its strings that are not UTF-8 are
/// replaced by U+FFFD: they can come from other processes, and must not end this one.
std::string jsonText(const nlohmann::json &value, int indent = -1);
std::string jsonText(const nlohmann::ordered_json &value);

/// Whether JSON text passes `text` on unchanged, that is, whether it is UTF-8.
bool isJsonString(const std::string &text);

}
