#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Directives of the header Galenarock-Test, separated by ';': `crash`, `time=<ms>`, `size=<bytes>`.
namespace Galenarock::Standin
{

bool hasDirective(std::string_view header, std::string_view name);
/// Value of `name=<number>`; empty when absent or not a number.
std::optional<double> directiveNumber(std::string_view header, std::string_view name);

/// Paths of a backend server that the system calls itself; a request with the header Galenarock-Service is a forwarded
/// one even when its path is one of these.
bool isSystemPath(std::string_view path);

}
