#pragma once

#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include <galenarock/error.h>

#include "wire_p.h"

/// Payloads of messages between daemons in cereal's portable binary format.
///
/// Daemons of different builds run side by side during a rolling upgrade, so the fields of a message and their order
/// stay as they are. A message may have a method `serializeSecond` for fields that the first build of it does not
/// write; in its messages they have their default values. Any further field is a Wire::AddedField, which readers skip
/// that do not know its number.
namespace Galenarock
{

template<typename Message, typename = void> struct HasSecondPart : std::false_type
{
};

template<typename Message>
struct HasSecondPart<Message,
                     std::void_t<decltype(std::declval<Message &>().serializeSecond(
                         std::declval<cereal::PortableBinaryInputArchive &>()))>> : std::true_type
{
};

template<typename Message> std::string encodeMessage(Message message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
        if constexpr (HasSecondPart<Message>::value) {
            message.serializeSecond(archive);
        }
    }
    return stream.str();
}

/// Fails with MalformedMessage when the payload ends early, within a field, or has bytes after its end that are no
/// added fields. `addedFields`, if given, receives these.
template<typename Message>
Result<Message> decodeMessage(const std::string &payload, std::vector<Wire::AddedField> *addedFields = nullptr)
{
    std::istringstream stream(payload);
    Message message;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
        if constexpr (HasSecondPart<Message>::value) {
            if (!Wire::isAtEnd(stream)) {
                message.serializeSecond(archive);
            }
        }
        auto fields = Wire::readAddedFields(stream, archive);
        if (addedFields) {
            *addedFields = std::move(fields);
        }
    } catch (const std::exception &it) {
        return fail(ErrorCode::MalformedMessage, it.what());
    }
    return message;
}

}
