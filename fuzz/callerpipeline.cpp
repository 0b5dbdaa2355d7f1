/// The caller side of the proxy under arbitrary bytes in arbitrary pieces. Invariants: never more requests in progress
/// than the bound, requests start in their order, a request that is not idempotent runs alone, and nothing is written
/// after the end of the connection.

#include "eventreader_p.h"

#include "proxy/callerpipeline_p.h"

using namespace Galenarock;

namespace
{
PipelineHooks hooksOf(std::vector<std::shared_ptr<Exchange>> &open, std::unique_ptr<CallerPipeline> &pipeline)
{
    PipelineHooks hooks;
    hooks.onRequest = [&](const std::shared_ptr<Exchange> &it) {
        require(!it->isReadAhead() || it->method() == "GET");
        require(it->isReadAhead() || pipeline->depth() == 1);
        open.push_back(it);
        it->onBody = [weak = std::weak_ptr<Exchange>(it)] {
            if (const auto exchange = weak.lock()) {
                exchange->requestBody().clear();
            }
        };
    };
    hooks.mayRunAhead = [](const Exchange &it) {
        return it.method() == "GET";
    };
    hooks.isStopping = [] {
        return false;
    };
    hooks.onMalformed = [](std::string_view) {
    };
    hooks.onChanged = [] {
    };
    hooks.socket = [] {
        return -1;
    };
    return hooks;
}

void answer(Exchange &exchange, EventReader &reader)
{
    switch (reader.byte() % 8) {
    case 0:
        exchange.drop();
        break;
    case 1:
        exchange.startResponse(200, {{"A", reader.bytes()}}, reader.byte());
        exchange.appendResponse("abc", 3);
        exchange.finishResponse();
        break;
    case 2:
        exchange.startResponse(200, {}, {});
        exchange.appendResponse("abc", 3);
        exchange.abortResponse();
        break;
    case 3:
        exchange.startResponse(200, {}, {});
        exchange.appendResponse("abc", 3);
        exchange.finishResponse();
        break;
    default:
        exchange.respond(200 + reader.byte(), {{reader.bytes(), "b"}}, reader.bytes());
        break;
    }
}
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    EventReader reader(data, size);
    std::vector<std::shared_ptr<Exchange>> open;
    std::unique_ptr<CallerPipeline> pipeline;
    PipelineLimits limits;
    limits.requests = 1 + reader.byte() % 4;
    limits.headBytes = 512;
    limits.discardedBytes = 64;
    pipeline = std::make_unique<CallerPipeline>(limits, hooksOf(open, pipeline), "");
    while (!reader.isAtEnd()) {
        if (reader.byte() % 4 != 0 || open.empty()) {
            pipeline->receive(Instant(), reader.bytes());
        } else {
            const auto n = reader.byte() % open.size();
            const auto exchange = open[n];
            open.erase(open.begin() + static_cast<long>(n));
            answer(*exchange, reader);
        }
        const bool wasClosing = pipeline->isClosing();
        const auto before = pipeline->output().size();
        pipeline->pump(Instant());
        require(pipeline->depth() <= limits.requests);
        require(!wasClosing || pipeline->output().size() == before);
    }
    return 0;
}
