#pragma once

#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include <galenarock/error.h>

/// Helpers for cereal encodings that check lengths against a limit before memory is allocated.
namespace Galenarock::Wire
{

using OutputArchive = cereal::PortableBinaryOutputArchive;
using InputArchive = cereal::PortableBinaryInputArchive;

inline void checkSize(std::size_t size, std::size_t bound)
{
    if (size > bound) {
        throw cereal::Exception("length exceeds the limit");
    }
}

/// Text with a length field of type `Length`; at most `bound` bytes.
template<typename Length, typename Archive> void text(Archive &archive, std::string &value, std::size_t bound)
{
    auto length = static_cast<Length>(value.size());
    if constexpr (Archive::is_saving::value) {
        checkSize(value.size(), bound);
    }
    archive(length);
    if constexpr (Archive::is_loading::value) {
        checkSize(length, bound);
        value.resize(length);
    }
    archive(cereal::binary_data(value.data(), value.size()));
}

/// List with a 32-bit count; at most `bound` elements, each with a `serialize` method. Decoding appends one element at
/// a time, so that a forged count allocates no memory.
template<typename Archive, typename T> void list(Archive &archive, std::vector<T> &values, std::size_t bound)
{
    auto count = static_cast<std::uint32_t>(values.size());
    if constexpr (Archive::is_saving::value) {
        checkSize(values.size(), bound);
    }
    archive(count);
    if constexpr (Archive::is_loading::value) {
        checkSize(count, bound);
        values.clear();
        for (std::uint32_t n = 0; n < count; ++n) {
            archive(values.emplace_back());
        }
    } else {
        for (auto &it : values) {
            archive(it);
        }
    }
}

/// Encodes `value` in little-endian byte order on all platforms.
template<typename T> std::string encode(T value)
{
    std::ostringstream stream;
    {
        OutputArchive archive(stream, OutputArchive::Options::LittleEndian());
        archive(value);
    }
    return stream.str();
}

/// Fails with MalformedMessage when bytes are missing or left over, or a length exceeds its limit.
template<typename T> Result<T> decode(std::string_view bytes)
{
    std::istringstream stream{std::string(bytes)};
    try {
        InputArchive archive(stream);
        T value;
        archive(value);
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            return fail(ErrorCode::MalformedMessage, "bytes after the end of the message");
        }
        return value;
    } catch (const cereal::Exception &e) {
        return fail(ErrorCode::MalformedMessage, e.what());
    }
}

}
