#pragma once

#include "platform/httpcall_p.h"

namespace Galenarock
{

/// Outcome of a write from what libcurl and the platform reported. 403, 413 and other 4xx answers are NotSent: the
/// platform refused the write without effect.
WriteResultEvent writeResultOf(const HttpCall &call);

struct ObjectList
{
    std::uint64_t revision = 0;
    std::vector<StoredObject> items;
};

/// Answer to a list or a watch.
Result<ObjectList> objectListOf(const std::string &response);
/// Answer to a read.
Result<StoredObject> storedObjectOf(const std::string &response);
Result<VmList> vmListOf(const std::string &response);

}
