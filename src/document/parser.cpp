#include "fields_p.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
using nlohmann::json;

/// A document has three levels; the bound keeps hostile nesting from costing memory.
constexpr std::size_t maxDepth = 16;

std::string escaped(const std::string &name)
{
    std::string text;
    for (const char c : name) {
        text += c == '~' ? std::string("~0") : c == '/' ? std::string("~1") : std::string(1, c);
    }
    return text;
}

/// Finds syntax errors with their byte, and fields that appear twice, which a DOM would silently merge.
class SyntaxCheck : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }
    bool string(string_t &) override
    {
        return true;
    }
    bool binary(binary_t &) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return open();
    }
    bool end_object() override
    {
        m_levels.pop_back();
        return true;
    }
    bool start_array(std::size_t) override
    {
        return open();
    }
    bool end_array() override
    {
        m_levels.pop_back();
        return true;
    }
    bool key(string_t &name) override
    {
        auto &level = m_levels.back();
        level.key = "/" + escaped(name);
        if (!level.seen.insert(name).second) {
            findings.push_back({ErrorCode::Contradiction, pointer(), "field appears twice"});
        }
        return true;
    }
    bool parse_error(std::size_t position, const std::string &, const json::exception &error) override
    {
        errorByte = position;
        errorText = error.what();
        return false;
    }

    Findings findings;
    std::size_t errorByte = 0;
    std::string errorText;

private:
    struct Level
    {
        std::set<std::string> seen;
        std::string key;
    };

    bool open()
    {
        m_levels.emplace_back();
        if (m_levels.size() <= maxDepth) {
            return true;
        }
        findings.push_back({ErrorCode::OutOfRange, pointer(), fmt::format("nested deeper than {}", maxDepth)});
        return false;
    }
    std::string pointer() const
    {
        std::string text;
        for (const auto &it : m_levels) {
            text += it.key;
        }
        return text;
    }

    std::vector<Level> m_levels;
};

/// `line:column` of a byte counted from 1, both counted from 1.
std::string lineAndColumn(std::string_view text, std::size_t byte)
{
    const auto before = text.substr(0, byte == 0 ? 0 : byte - 1);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const auto lineStart = before.rfind('\n');
    const auto column = before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
    return fmt::format("{}:{}", line, column);
}

/// The library's message without its own prefix and position.
std::string shortError(const std::string &text)
{
    for (const std::string_view marker : {": syntax error ", "] "}) {
        const auto at = text.find(marker);
        if (at == std::string::npos) {
            continue;
        }
        return text.substr(at + (marker == "] " ? marker.size() : 2));
    }
    return text;
}

class DocumentReader
{
public:
    ParsedDocument read(const json &root)
    {
        if (!root.is_object()) {
            m_result.findings.push_back({ErrorCode::WrongType, "", "a document is an object"});
            return std::move(m_result);
        }
        for (const auto &it : fieldRows()) {
            readField(it, root);
        }
        findUnknown(root, "");
        checkContradictions(m_result.document, m_result.findings);
        return std::move(m_result);
    }

private:
    void readField(const FieldRow &row, const json &root)
    {
        const json::json_pointer pointer{std::string(row.info.pointer)};
        const auto parent = pointer.parent_pointer();
        const bool isPresent = root.contains(parent) && root.at(parent).is_object() && root.contains(pointer);
        if (!isPresent) {
            if (row.info.isRequired) {
                m_result.findings.push_back({ErrorCode::MissingField, std::string(row.info.pointer), ""});
            }
            return;
        }
        auto finding = checkField(row.info, root.at(pointer));
        if (finding.code != ErrorCode::Success) {
            m_result.findings.push_back(std::move(finding));
            return;
        }
        row.write(m_result.document, root.at(pointer));
    }

    void findUnknown(const json &object, const std::string &prefix)
    {
        for (const auto &it : object.items()) {
            const auto pointer = prefix + "/" + escaped(it.key());
            if (isField(pointer)) {
                continue;
            }
            if (!isGroup(pointer)) {
                reportUnknown(pointer);
                continue;
            }
            if (it.value().is_object()) {
                findUnknown(it.value(), pointer);
                continue;
            }
            m_result.findings.push_back({ErrorCode::WrongType, pointer, "an object is expected"});
        }
    }

    void reportUnknown(const std::string &pointer)
    {
        const auto nearest = nearestField(pointer);
        m_result.findings.push_back({ErrorCode::UnknownField, pointer,
                                     nearest.empty() ? std::string() : fmt::format("did you mean {}?", nearest)});
    }

    static bool isField(const std::string &pointer)
    {
        const auto &rows = fieldRows();
        return std::any_of(rows.begin(), rows.end(), [&](const FieldRow &it) { return it.info.pointer == pointer; });
    }

    static bool isGroup(const std::string &pointer)
    {
        const auto &rows = fieldRows();
        return std::any_of(rows.begin(), rows.end(),
                           [&](const FieldRow &it) { return it.info.pointer.rfind(pointer + "/", 0) == 0; });
    }

    ParsedDocument m_result;
};
}

ParsedDocument parseDocument(const json &json)
{
    return DocumentReader().read(json);
}

ParsedDocument parseDocumentText(std::string_view text)
{
    SyntaxCheck check;
    if (!json::sax_parse(text.begin(), text.end(), &check)) {
        ParsedDocument failed;
        failed.findings = std::move(check.findings);
        if (check.errorByte > 0) {
            failed.findings.push_back(
                {ErrorCode::MalformedJson, lineAndColumn(text, check.errorByte), shortError(check.errorText)});
        }
        return failed;
    }
    auto parsed = parseDocument(json::parse(text.begin(), text.end()));
    parsed.findings.insert(parsed.findings.begin(), check.findings.begin(), check.findings.end());
    return parsed;
}

}
