#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include <galenarock/control.h>

namespace Galenarock
{

/// Reads small numbers and texts from the fuzzer's bytes; zeros after the end.
class EventReader
{
public:
    EventReader(const std::uint8_t *data, std::size_t size)
        : m_rest(reinterpret_cast<const char *>(data), size)
    {
    }
    bool isAtEnd() const
    {
        return m_rest.empty();
    }
    std::uint8_t byte()
    {
        if (m_rest.empty()) {
            return 0;
        }
        const auto n = static_cast<std::uint8_t>(m_rest.front());
        m_rest.remove_prefix(1);
        return n;
    }
    std::string bytes()
    {
        const auto n = std::min<std::size_t>(byte(), m_rest.size());
        const std::string text(m_rest.substr(0, n));
        m_rest.remove_prefix(n);
        return text;
    }
    /// One of a few names, so that events meet the same members again; 0 is the daemon under test.
    std::string name()
    {
        return fmt::format("vm-{}", byte() % 6);
    }

private:
    std::string_view m_rest;
};

inline void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

}
