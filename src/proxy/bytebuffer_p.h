#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <string>

#include "callerbudget_p.h"

namespace Galenarock
{

/// Empties a buffer and frees its memory, unless that is little.
inline void clearBuffer(std::string &bytes)
{
    bytes.clear();
    if (bytes.capacity() > KeptBufferBytes) {
        bytes.shrink_to_fit();
    }
}

/// FIFO byte buffer of limited capacity for one streamed body.
class ByteBuffer
{
public:
    explicit ByteBuffer(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    std::size_t size() const
    {
        return m_bytes.size() - m_begin;
    }
    bool isEmpty() const
    {
        return size() == 0;
    }
    std::size_t freeSpace() const
    {
        return size() >= m_capacity ? 0 : m_capacity - size();
    }
    const char *data() const
    {
        return m_bytes.data() + m_begin;
    }

    /// Appends at most freeSpace() bytes and returns how many.
    std::size_t append(const char *bytes, std::size_t n)
    {
        n = std::min(n, freeSpace());
        compact();
        m_bytes.append(bytes, n);
        return n;
    }

    /// Moves at most `n` bytes to `out` and returns how many.
    std::size_t take(char *out, std::size_t n)
    {
        n = std::min(n, size());
        std::memcpy(out, data(), n);
        m_begin += n;
        return n;
    }

    /// Memory in use, at most.
    std::size_t capacity() const
    {
        return m_bytes.capacity();
    }

    void clear()
    {
        clearBuffer(m_bytes);
        m_begin = 0;
    }

private:
    void compact()
    {
        if (m_begin == 0) {
            return;
        }
        if (isEmpty()) {
            clear();
            return;
        }
        if (m_begin < m_bytes.size() / 2) {
            return;
        }
        m_bytes.erase(0, m_begin);
        m_begin = 0;
    }

    std::size_t m_capacity;
    std::size_t m_begin = 0;
    std::string m_bytes;
};

}
