#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <xxhash.h>

namespace Galenarock::Standin
{

/// Streaming XXH3 of a body that is never kept whole.
class BodyHash
{
public:
    BodyHash();
    ~BodyHash();
    BodyHash(const BodyHash &) = delete;
    BodyHash &operator=(const BodyHash &) = delete;

    void add(std::string_view part);
    std::uint64_t bytes() const
    {
        return m_bytes;
    }
    /// Sixteen hexadecimal digits.
    std::string digest() const;

private:
    XXH3_state_t *m_state;
    std::uint64_t m_bytes = 0;
};

}
