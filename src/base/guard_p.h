#pragma once

#include <exception>

#include <string_view>

#include "base/events_p.h"

namespace Galenarock
{

/// Runs `body`. An exception that no code expected is logged with the place and does not end the process: what was
/// being handled is dropped. Returns false then.
template<typename Body> bool runGuarded(std::string_view place, const Body &body)
{
    try {
        body();
        return true;
    } catch (const std::exception &it) {
        logEvent(Events::UnexpectedError, "{}: {}", place, it.what());
        return false;
    }
}

}
