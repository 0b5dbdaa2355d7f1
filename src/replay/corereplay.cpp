#include "serialize_p.h"

#include <fmt/format.h>

namespace Galenarock
{

namespace
{
Finding difference(std::size_t record, std::string message)
{
    return {ErrorCode::Contradiction, fmt::format("record {}", record), std::move(message)};
}
}

Findings replayCore(const Trace &trace, std::string_view core, const CoreStep &step)
{
    ControlActions coreActions;
    std::size_t comparedActions = 0;
    std::size_t eventIndex = 0;
    for (std::size_t n = 0; n < trace.records.size(); ++n) {
        const auto &record = trace.records[n];
        if (const auto *const action = std::get_if<ActionRecord>(&record); action != nullptr && action->core == core) {
            if (comparedActions == coreActions.size()) {
                return {difference(n, "the trace has an action that the core does not return")};
            }
            if (encodeAction(coreActions[comparedActions++]) != encodeAction(action->action)) {
                return {difference(
                    n, fmt::format("action {} differs from the one that the core returns", comparedActions))};
            }
            continue;
        }
        const auto *const event = std::get_if<EventRecord>(&record);
        if (event == nullptr && !std::holds_alternative<TraceEnd>(record)) {
            continue;
        }
        if (comparedActions != coreActions.size()) {
            return {difference(
                eventIndex,
                fmt::format("the core returns {} actions, the trace has {}", coreActions.size(), comparedActions))};
        }
        if (event != nullptr) {
            coreActions = step(event->at, event->event);
            comparedActions = 0;
            eventIndex = n;
        }
    }
    return {};
}

}
