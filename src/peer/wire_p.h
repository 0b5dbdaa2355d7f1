#pragma once

#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include <galenarock/error.h>

/// Helpers for cereal encodings that check lengths against a limit before memory is allocated, and for messages that
/// daemons of another build read or write.
namespace Galenarock::Wire
{

using OutputArchive = cereal::PortableBinaryOutputArchive;
using InputArchive = cereal::PortableBinaryInputArchive;

inline constexpr std::size_t maxAddedFields = 16;
inline constexpr std::size_t maxAddedFieldBytes = 1'024;
/// Byte order mark at the beginning of cereal's portable archives.
inline constexpr std::size_t byteOrderMarkBytes = 1;

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

/// A field that a later build has added to a message. Added fields follow the fields of the first build as a list, in
/// ascending order of their numbers; a message without any ends before the list.
struct AddedField
{
    /// From 1. A number is never used again for another field of the same message.
    std::uint8_t number = 0;
    std::string value;

    template<typename Archive> void serialize(Archive &archive)
    {
        archive(number);
        text<std::uint16_t>(archive, value, maxAddedFieldBytes);
    }
};

/// Whether the input has ended.
inline bool isAtEnd(std::istream &stream)
{
    return stream.peek() == std::istream::traits_type::eof();
}

/// Reads the added fields to the end of the input. Throws when anything else is there.
template<typename Archive> std::vector<AddedField> readAddedFields(std::istream &stream, Archive &archive)
{
    std::vector<AddedField> fields;
    if (isAtEnd(stream)) {
        return fields;
    }
    list(archive, fields, maxAddedFields);
    std::uint8_t before = 0;
    for (const auto &it : fields) {
        if (it.number <= before) {
            throw cereal::Exception("added fields are not in ascending order");
        }
        before = it.number;
    }
    if (fields.empty() || !isAtEnd(stream)) {
        throw cereal::Exception("bytes after the end of the message");
    }
    return fields;
}

/// Reads a value and then, with `readEnd(stream, archive)`, the rest of the input.
template<typename T, typename ReadEnd> Result<T> decodeWith(std::string_view bytes, const ReadEnd &readEnd)
{
    std::istringstream stream{std::string(bytes)};
    try {
        InputArchive archive(stream);
        T value;
        archive(value);
        readEnd(stream, archive);
        return value;
    } catch (const cereal::Exception &e) {
        return fail(ErrorCode::MalformedMessage, e.what());
    }
}

/// Fails with MalformedMessage when bytes are missing or left over, or a length exceeds its limit. For formats whose
/// version number changes with each field.
template<typename T> Result<T> decodeExact(std::string_view bytes)
{
    return decodeWith<T>(bytes, [](std::istream &stream, InputArchive &) {
        if (!isAtEnd(stream)) {
            throw cereal::Exception("bytes after the end of the message");
        }
    });
}

/// Like decodeExact, but skips fields that a later build has added.
template<typename T> Result<T> decode(std::string_view bytes)
{
    return decodeWith<T>(bytes, [](std::istream &stream, InputArchive &archive) { readAddedFields(stream, archive); });
}

/// Bytes of added fields, to be appended to those of a message.
inline std::string encodeAddedFields(std::vector<AddedField> fields)
{
    std::ostringstream stream;
    {
        OutputArchive archive(stream, OutputArchive::Options::LittleEndian());
        list(archive, fields, maxAddedFields);
    }
    return stream.str().substr(byteOrderMarkBytes);
}

}
