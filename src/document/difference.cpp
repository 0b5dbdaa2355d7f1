#include <map>

#include <galenarock/document.h>
#include <galenarock/jsontext.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;
using Leaves = std::map<std::string, std::string>;

std::string shown(const json &value)
{
    return jsonText(value);
}

/// Collects the values that are not objects, and empty objects, under their pointers.
void collectLeaves(const json &value, const json::json_pointer &pointer, Leaves &leaves)
{
    if (!value.is_object() || value.empty()) {
        leaves[pointer.to_string()] = shown(value);
        return;
    }
    for (const auto &it : value.items()) {
        collectLeaves(it.value(), pointer / it.key(), leaves);
    }
}
}

std::vector<std::string> documentDifference(const json &before, const json &after)
{
    Leaves old;
    Leaves changed;
    collectLeaves(before, json::json_pointer(), old);
    collectLeaves(after, json::json_pointer(), changed);
    std::map<std::string, std::string> lines;
    for (const auto &[pointer, text] : old) {
        const auto it = changed.find(pointer);
        const auto now = it == changed.end() ? "absent" : it->second;
        if (now != text) {
            lines[pointer] = pointer + ": " + text + " -> " + now;
        }
    }
    for (const auto &[pointer, text] : changed) {
        if (old.count(pointer) == 0) {
            lines[pointer] = pointer + ": absent -> " + text;
        }
    }
    std::vector<std::string> result;
    result.reserve(lines.size());
    for (auto &[pointer, line] : lines) {
        result.push_back(std::move(line));
    }
    return result;
}

}
