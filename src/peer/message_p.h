#pragma once

#include <sstream>
#include <string>

#include <cereal/archives/portable_binary.hpp>

#include <galenarock/error.h>

/// Payloads of messages between daemons in cereal's portable binary format.
namespace Galenarock
{

template<typename Message> std::string encodeMessage(const Message &message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return stream.str();
}

/// Fails with MalformedMessage when the payload ends early.
template<typename Message> Result<Message> decodeMessage(const std::string &payload)
{
    std::istringstream stream(payload);
    Message message;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
    } catch (const std::exception &it) {
        return fail(ErrorCode::MalformedMessage, it.what());
    }
    return message;
}

}
