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
    ControlActions expected;
    std::size_t taken = 0;
    std::size_t eventRecord = 0;
    for (std::size_t n = 0; n < trace.records.size(); ++n) {
        const auto &record = trace.records[n];
        if (const auto *const action = std::get_if<ActionRecord>(&record); action != nullptr && action->core == core) {
            if (taken == expected.size()) {
                return {difference(n, "the trace has an action that the core does not return")};
            }
            if (encodeAction(expected[taken++]) != encodeAction(action->action)) {
                return {difference(n, fmt::format("action {} differs from the core's", taken))};
            }
            continue;
        }
        const auto *const event = std::get_if<EventRecord>(&record);
        if (event == nullptr && !std::holds_alternative<TraceEnd>(record)) {
            continue;
        }
        if (taken != expected.size()) {
            return {difference(eventRecord,
                               fmt::format("the core returns {} actions, the trace has {}", expected.size(), taken))};
        }
        if (event != nullptr) {
            expected = step(event->at, event->event);
            taken = 0;
            eventRecord = n;
        }
    }
    return {};
}

}
