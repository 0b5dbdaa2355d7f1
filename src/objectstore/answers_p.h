#pragma once

#include "objectstore/httpcall_p.h"

namespace Galenarock
{

/// Outcome of a write, from libcurl's result and the HTTP response. 503 and 4xx responses other than 408 and 409 give
/// NotSent: the platform refused the write without effect.
WriteResultEvent decodeWriteResult(const StoreDialect &dialect, const HttpCall &call);

/// A required field that holds an unsigned integer.
Result<std::uint64_t> unsignedField(const nlohmann::json &object, const char *name);
Result<VmList> parseVmList(const std::string &response);

}
