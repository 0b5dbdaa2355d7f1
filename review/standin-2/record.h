#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "net.h"

namespace Review
{

/// Writes what was sent, answered and run, each line with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path, std::ios::trunc)
        , m_start(nowMs())
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() - m_start << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start;
};

}
