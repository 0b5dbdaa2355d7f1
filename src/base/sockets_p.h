#pragma once

#include <chrono>

#include <curl/curl.h>

namespace Galenarock
{

/// For CURLOPT_SOCKOPTFUNCTION: ends a connection whose other end no longer answers, in about three seconds. A VM
/// without power or behind a partition sends no reset, and a kept connection may go silent while new ones work.
int detectSilence(void *, curl_socket_t fd, curlsocktype purpose);

/// Keeps a connection of detectSilence() whose other end answers but does not read, which otherwise ends as if it were
/// silent. Call it at intervals of less than a second while a request is sent, and once after it.
void allowClosedWindow(curl_socket_t fd);

/// Time after which discardUnsent() gives up bytes that the other end has not acknowledged.
inline constexpr std::chrono::milliseconds DiscardAfter{250};

/// For CURLOPT_SOCKOPTFUNCTION, where a late request does harm: as detectSilence(), and nothing arrives any more
/// DiscardAfter after it was sent, or once the connection or the process is closed. Otherwise the kernel would go on
/// sending what the socket still holds for as long as a partition lasts.
int discardUnsent(void *, curl_socket_t fd, curlsocktype purpose);

}
