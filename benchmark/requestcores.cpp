/// Cost of the request cores per request, and memory of the bounded tables.
#include <benchmark/benchmark.h>

#include <malloc.h>

#include <fmt/format.h>

#include <galenarock/admission.h>
#include <galenarock/ledger.h>
#include <galenarock/retry.h>
#include <galenarock/serverchoice.h>
#include <galenarock/suspects.h>

using namespace Galenarock;

namespace
{
constexpr WallMilliseconds wallStart = 1'700'000'000'000;

Instant startTime()
{
    return Instant(seconds(1'000));
}

/// One choice with its views, start and end, at `state.range(0)` servers.
void serverChoice(benchmark::State &state)
{
    std::vector<RoutedServer> servers;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        servers.push_back({{fmt::format("s{}", n), 0}, "127.0.0.1:80", "", false, {}});
    }
    ServerObservations observations;
    observations.setServers(startTime(), servers, {1, 11});
    auto now = startTime();
    std::uint64_t random = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(50);
        const auto chosen = chooseLeastInFlight({observations.views(now), ++random});
        const auto handle = observations.started(now, chosen);
        observations.finished(now, handle, {AttemptEnd::Answered, milliseconds(5), ReportedLoad{1, 4, 0}});
    }
}
BENCHMARK(serverChoice)->Arg(8)->Arg(35);

/// Look for room at the owners of 255 queued keyed requests, all busy, at 17 servers: by all views (0) or by one
/// server's count (1).
void keyedRoom(benchmark::State &state)
{
    std::vector<RoutedServer> servers;
    for (int n = 0; n < 17; ++n) {
        servers.push_back({{fmt::format("s{}", n), 0}, "127.0.0.1:80", "", false, {}});
    }
    ServerObservations observations;
    observations.setServers(startTime(), servers, {1, 11});
    for (auto _ : state) {
        std::uint32_t busy = 0;
        for (ServerIndex n = 0; n < 255; ++n) {
            const auto server = static_cast<ServerIndex>(n % 17);
            busy +=
                state.range(0) == 0 ? observations.views(startTime())[server].inFlight : observations.inFlight(server);
        }
        benchmark::DoNotOptimize(busy);
    }
}
BENCHMARK(keyedRoom)->Arg(0)->Arg(1);

/// One request through a queue that already holds `state.range(0)` less urgent ones.
void admissionQueue(benchmark::State &state)
{
    ServiceDocument document;
    Admission admission(document, 10);
    const auto deadline = startTime() + seconds(3'600);
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        admission.offer(startTime(), {static_cast<std::uint64_t>(n), TrafficClass::Upload, 9, deadline}, 10);
    }
    std::vector<DroppedRequest> dropped;
    for (auto _ : state) {
        admission.offer(startTime(), {1'000, TrafficClass::Read, 5, deadline}, 10);
        benchmark::DoNotOptimize(admission.next(
            startTime(), [](const AdmissionRequest &) { return true; }, dropped));
    }
}
BENCHMARK(admissionQueue)->Arg(0)->Arg(255);

void callerGuard(benchmark::State &state)
{
    CallerGuards guards({3, 1'000});
    auto now = startTime();
    std::uint64_t n = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(50);
        benchmark::DoNotOptimize(guards.admit(now, ++n % 1'000));
    }
}
BENCHMARK(callerGuard);

void attemptPlan(benchmark::State &state)
{
    ServiceDocument document;
    RetryBudget budget(10);
    const auto deadline = startTime() + seconds(2);
    for (auto _ : state) {
        budget.countFresh();
        AttemptPlan plan(document, "GET", deadline);
        plan.started();
        benchmark::DoNotOptimize(plan.failed(startTime(), {Reason::ServerShed, 1, true, true}, budget, {}, 7));
    }
}
BENCHMARK(attemptPlan);

RequestId idFor(std::uint64_t n)
{
    const auto time = static_cast<std::uint64_t>(wallStart) + n / 100;
    return {time << 16 | 0x7000, std::uint64_t(2) << 62 | n * 0x9e3779b97f4a7c15U >> 2};
}

/// One non-repeatable request in a ledger that is full except for it; the counter is the memory of the full ledger.
void ledgerRequest(benchmark::State &state)
{
    LedgerSettings settings;
    const auto before = mallinfo2().uordblks;
    RequestLedger ledger(settings);
    ledger.setRanges(wallStart - 10'000, {{{0, ~KeyHash(0)}, {1, 1}}});
    ledger.renewUntil(startTime() + seconds(3'600));
    const RecordedResponse response{201, {{"Content-Type", "application/json"}}, std::string(200, 'x')};
    for (std::uint64_t n = 0; n + 1 < settings.maxEntries; ++n) {
        ledger.begin(startTime(), wallStart + 1'000, idFor(n));
        ledger.answered(idFor(n), response);
    }
    state.counters["MiB"] = static_cast<double>(mallinfo2().uordblks - before) / (1 << 20);
    const auto id = idFor(settings.maxEntries);
    for (auto _ : state) {
        benchmark::DoNotOptimize(ledger.begin(startTime(), wallStart + 1'000, id));
        ledger.refused(id, {Reason::ServerShed, Outcome::NotRun, {}, 0});
    }
}
BENCHMARK(ledgerRequest);

void requestIdParse(benchmark::State &state)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(parseRequestId("0192f0c1-2b3c-7abc-9def-0123456789ab"));
    }
}
BENCHMARK(requestIdParse);

/// Check and clearing of an unsuspected request beside a full table.
void crashSuspects(benchmark::State &state)
{
    const auto before = mallinfo2().uordblks;
    CrashSuspects suspects;
    for (Fingerprint n = 1; n <= 4'096; ++n) {
        suspects.reportReceived(startTime(), {n * 0x9e3779b97f4a7c15U, n, {1, 2, 0, 0}, false});
    }
    state.counters["MiB"] = static_cast<double>(mallinfo2().uordblks - before) / (1 << 20);
    for (auto _ : state) {
        benchmark::DoNotOptimize(suspects.refusalFor(startTime(), 5));
        benchmark::DoNotOptimize(suspects.succeeded(startTime(), 5));
    }
}
BENCHMARK(crashSuspects);

void fingerprint(benchmark::State &state)
{
    const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(requestFingerprint("tostadero", "POST", "/orders/new", body, ""));
    }
}
BENCHMARK(fingerprint)->Arg(0)->Arg(4'096);
}

BENCHMARK_MAIN();
