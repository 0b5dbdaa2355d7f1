#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Reads heads of HTTP responses line by line, and decides which are well-formed.
namespace Galenarock
{

struct HeaderField
{
    std::string name;
    std::string value;

    friend bool operator==(const HeaderField &a, const HeaderField &b)
    {
        return a.name == b.name && a.value == b.value;
    }
};

enum class HeadProgress : std::uint8_t
{
    /// More lines are needed. So it is after an interim response (1xx), whose head is followed by another one.
    Incomplete,
    /// The head of the final response has ended.
    Complete,
    /// The bytes are no response. Nothing in them may be believed, neither a success nor that a request has not run.
    Malformed,
};

/// Reads the heads of one response: the interim ones and the final one.
///
/// The measure is RFC 9112. Where it leaves a choice for a field that decides how long the body is, the head is
/// malformed: libcurl, which reads the body, and the callers might choose differently.
class ResponseHeadReader
{
public:
    /// Reads one line with its line ending. Lines after the final head, those of the trailer, are ignored.
    HeadProgress addLine(std::string_view line);

    /// The final head has been read.
    bool isComplete() const
    {
        return m_isComplete;
    }
    /// Status code of the newest head; 0 before the first status line.
    unsigned status() const
    {
        return m_status;
    }
    /// Fields of the newest head in the order of their arrival. Values are without surrounding blanks.
    const std::vector<HeaderField> &fields() const
    {
        return m_fields;
    }
    std::vector<HeaderField> takeFields()
    {
        return std::move(m_fields);
    }
    /// Whether the final head says where the body ends, so that not only the end of the connection ends it.
    bool hasFraming() const;
    /// What is wrong with a malformed head, for the log; empty otherwise.
    std::string_view defect() const
    {
        return m_defect;
    }

private:
    HeadProgress fail(std::string_view text);
    HeadProgress beginHead(std::string_view line);
    HeadProgress addField(std::string_view line);
    HeadProgress endHead();
    std::string_view framingDefect(std::string_view name, std::string_view value);

    bool m_isInHead = false;
    bool m_isComplete = false;
    bool m_isHttp10 = false;
    unsigned m_status = 0;
    std::size_t m_lengths = 0;
    std::size_t m_codings = 0;
    std::string_view m_defect;
    std::vector<HeaderField> m_fields;
};

/// Compares field names, which have no case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Value of the first field with this name; empty when absent.
std::string_view fieldOf(const std::vector<HeaderField> &fields, std::string_view name);

}
