#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <sstream>
#include <thread>

#include <galenarock/storeclient.h>

#include "objectstore/tests/scriptedserver_p.h"

using namespace Galenarock;

namespace
{
/// Client connected to a scripted server. next() waits for an event without a time limit.
class Fixture
{
public:
    explicit Fixture(ScriptedServer::Script script, const std::function<void(StoreClientSettings &)> &adjust = {})
        : server(std::move(script))
        , client(settings(server.endpoint(), adjust), metrics,
                 [this](ControlEvent event) { return onEvent(std::move(event)); })
    {
    }
    static StoreClientSettings settings(const std::string &endpoint,
                                        const std::function<void(StoreClientSettings &)> &adjust = {})
    {
        StoreClientSettings result;
        result.endpoint = endpoint;
        result.vmListInterval = Duration::zero();
        result.budget.firstBackOff = milliseconds(1);
        result.budget.longestBackOff = milliseconds(2);
        if (adjust) {
            adjust(result);
        }
        return result;
    }
    template<typename Event> Event next()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            for (auto it = m_events.begin(); it != m_events.end(); ++it) {
                if (auto *event = std::get_if<Event>(&*it)) {
                    auto result = std::move(*event);
                    m_events.erase(it);
                    return result;
                }
            }
            m_changed.wait(lock);
        }
    }
    template<typename Event> bool has()
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_events.begin(), m_events.end(),
                           [](const ControlEvent &it) { return std::holds_alternative<Event>(it); });
    }
    WriteResultEvent write(std::uint64_t expected = 0)
    {
        client.submit(WriteObjectAction{{"mandate", "vitrina"}, expected, 77, {{"x", 1}}, CallPriority::Leadership});
        return next<WriteResultEvent>();
    }

    Metrics metrics;
    ScriptedServer server;
    /// Number of object events that the handler does not take.
    std::atomic<int> objectsToRefuse{0};

private:
    bool onEvent(ControlEvent event)
    {
        const bool isObject = std::holds_alternative<ObjectEvent>(event);
        if (isObject && objectsToRefuse > 0) {
            --objectsToRefuse;
            return false;
        }
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_all();
        return true;
    }
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<ControlEvent> m_events;

public:
    StoreClient client;
};

const std::string object = R"({"kind":"mandate","name":"vitrina","version":4,"writer":"9","value":{"y":2}})";
}

// Guards against a wrong write outcome, such as NotSent for a write that may have been applied. Callers rely on it to
// decide whether a write may be sent again.
TEST(StoreClient, mapsResponsesToWriteStatuses)
{
    std::atomic<int> step{0};
    Fixture fixture([&](const std::string &) -> std::optional<std::string> {
        switch (step++) {
        case 0:
            return ScriptedServer::response(200, "{\"version\":5}");
        case 1:
            return ScriptedServer::response(409, "{\"error\":\"conflict\",\"current\":" + object + "}");
        case 2:
            return ScriptedServer::response(429, "{\"error\":\"rate-limited\"}");
        case 3:
            return ScriptedServer::response(503, "");
        case 4:
            return ScriptedServer::response(500, "");
        default:
            return ScriptedServer::response(200, "damaged");
        }
    });
    const auto applied = fixture.write(4);
    EXPECT_EQ(applied.status, WriteStatus::Applied);
    EXPECT_EQ(applied.current.version, 5u);
    EXPECT_EQ(applied.writer, 77u);
    const auto conflict = fixture.write(4);
    EXPECT_EQ(conflict.status, WriteStatus::Conflict);
    EXPECT_EQ(conflict.current.writer, 9u);
    EXPECT_EQ(fixture.write().status, WriteStatus::NotSent);
    EXPECT_EQ(fixture.write().status, WriteStatus::NotSent);
    EXPECT_EQ(fixture.write().status, WriteStatus::Unknown);
    EXPECT_EQ(fixture.write().status, WriteStatus::Unknown);
}

// Guards against treating an answer of the store whose head is cut as whole: what it says about the object may belong
// to another era, and a write may have taken effect.
TEST(StoreClient, answerCutInItsHeadIsNoAnswer)
{
    std::vector<std::string> answers;
    for (const auto *status :
         {"100 Continue", "200 OK", "404 Not Found", "409 Conflict", "403 Forbidden", "503 Busy"}) {
        for (const auto *fields : {"", "Content-Length: 0\r", "Content-Length: 0\r\n", "Era: 2\r\n\r"}) {
            answers.push_back(fmt::format("HTTP/1.1 {}\r\n{}", status, fields));
        }
    }
    std::atomic<std::size_t> next{0};
    Fixture fixture([&](const std::string &) -> std::optional<std::string> { return answers.at(next++); });
    fixture.server.closeAfterAnswers();
    for (const auto &it : answers) {
        EXPECT_EQ(fixture.write(4).status, WriteStatus::Unknown) << it;
    }
}

// Guards against believing a malformed answer of the store: it may be that of something else at its address, and a
// write may have taken effect.
TEST(StoreClient, malformedHeadIsNoAnswer)
{
    std::vector<std::string> answers;
    for (const auto *field : {"Era : 2", "Content-Length: 2\r\nContent-Length: 2", "A: b\x01", "no colon"}) {
        answers.push_back(fmt::format("HTTP/1.1 409 Conflict\r\n{}\r\n\r\n{{}}", field));
        answers.push_back(fmt::format("HTTP/1.1 503 Busy\r\n{}\r\n\r\n{{}}", field));
    }
    std::atomic<std::size_t> next{0};
    Fixture fixture([&](const std::string &) -> std::optional<std::string> { return answers.at(next++); });
    fixture.server.closeAfterAnswers();
    for (const auto &it : answers) {
        EXPECT_EQ(fixture.write(4).status, WriteStatus::Unknown) << it;
    }
}

// Guards against reporting an object as missing because of an answer whose head is cut.
TEST(StoreClient, missingObjectCutInItsHeadIsNotMissing)
{
    Fixture fixture([&](const std::string &request) -> std::optional<std::string> {
        const bool isRead = request.compare(0, 4, "GET ") == 0;
        return isRead ? "HTTP/1.1 404 Not Found\r\nEra: 2\r\n" : ScriptedServer::response(200, "{\"version\":5}");
    });
    fixture.server.closeAfterAnswers();
    fixture.client.submit(ReadObjectAction{{"mandate", "vitrina"}, CallPriority::Leadership});
    const auto reads = [&](const char *result) {
        const auto labels = fmt::format("kind=\"read\",result=\"{}\"", result);
        return fixture.metrics.counter("galenarock_platform_calls_total", labels).value();
    };
    while (reads("404") + reads("failed") == 0) {
        std::this_thread::yield();
    }
    EXPECT_EQ(fixture.write(4).status, WriteStatus::Applied); // the read's event, if any, comes before this one
    EXPECT_FALSE(fixture.has<ObjectMissingEvent>());
}

// Guards against a store, or whatever listens in its place, that fills the memory of the VM with a head or a body.
TEST(StoreClient, endlessResponseIsNoAnswer)
{
    const std::string field = "X-Noise: " + std::string(1'000, 'n') + "\r\n";
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (int n = 0; n < 80; ++n) {
        head += field;
    }
    const std::string body = "{\"version\":1}";
    const auto padded = body + std::string(9 << 20, ' ');
    for (const auto &answer : {head + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body),
                               ScriptedServer::response(200, padded)}) {
        Fixture fixture([&](const std::string &) { return answer; });
        EXPECT_EQ(fixture.write().status, WriteStatus::Unknown) << answer.substr(0, 100);
    }
}

// Guards against memory that counts as used after its response has been handled: later responses would be refused.
TEST(StoreClient, manyLongResponsesInTurnAreTaken)
{
    const auto answer = ScriptedServer::response(200, "{\"version\":1}" + std::string(5 << 20, ' '));
    Fixture fixture([&](const std::string &) { return answer; });
    for (int n = 0; n < 5; ++n) {
        EXPECT_EQ(fixture.write().status, WriteStatus::Applied) << n;
    }
}

// Guards against a double write: libcurl by itself sends a PUT again when a reused connection closes.
TEST(StoreClient, writeOnLostConnectionIsUnknownAndNotSentAgain)
{
    std::atomic<int> requests{0};
    Fixture fixture([&](const std::string &) -> std::optional<std::string> {
        if (requests++ == 0) {
            return ScriptedServer::response(200, "{\"version\":1}");
        }
        return {};
    });
    EXPECT_EQ(fixture.write().status, WriteStatus::Applied);
    EXPECT_EQ(fixture.write(1).status, WriteStatus::Unknown);
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(fixture.metrics.counter("galenarock_platform_repeats_prevented_total").value(), 1u);
}

// Guards against Unknown as the outcome of a write that cannot have reached the platform.
TEST(StoreClient, refusedConnectionIsNotSent)
{
    std::string endpoint;
    {
        const ScriptedServer closed([](const std::string &) { return std::nullopt; });
        endpoint = closed.endpoint();
    }
    Metrics metrics;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<WriteResultEvent> result;
    StoreClient client(Fixture::settings(endpoint), metrics, [&](const ControlEvent &event) {
        const std::lock_guard lock(mutex);
        result = std::get<WriteResultEvent>(event);
        changed.notify_all();
        return true;
    });
    client.submit(WriteObjectAction{{"mandate", "vitrina"}, 0, 1, {}, CallPriority::Leadership});
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return result.has_value(); });
    EXPECT_EQ(result->status, WriteStatus::NotSent);
    EXPECT_FALSE(client.isReachable());
}

// Guards against watches that skip changes between the list and the first poll, and against lost VM entries.
TEST(StoreClient, deliversReadsWatchesAndVmList)
{
    Fixture fixture([&](const std::string &request) -> std::optional<std::string> {
        const auto path = request.substr(4, request.find(' ', 4) - 4);
        if (path == "/v1/objects/mandate/none") {
            return ScriptedServer::response(404, "");
        }
        if (path == "/v1/objects/service") {
            return ScriptedServer::response(200, R"({"revision":7,"items":[]})");
        }
        if (path == "/v1/watch?kind=service&since=7&timeoutMs=20000") {
            return ScriptedServer::response(
                200, R"({"revision":8,"items":[{"kind":"service","name":"a","version":2,"writer":"1","value":{}}]})");
        }
        if (path == "/v1/vms") {
            return ScriptedServer::response(200, R"({"revision":3,"vms":[{"name":"vm-1","role":"entry",
                "failureDomain":"rioja","address":"127.0.0.1:1","peerAddress":"127.0.0.1:2","state":"leaving"}]})");
        }
        return ScriptedServer::response(503, "");
    });
    fixture.client.submit(ReadObjectAction{{"mandate", "none"}, CallPriority::Leadership});
    EXPECT_EQ(fixture.next<ObjectMissingEvent>().key.name, "none");
    fixture.client.setVmListInterval(milliseconds(1));
    const auto vms = fixture.next<VmListEvent>().list;
    EXPECT_EQ(vms.vms.at(0).state, VmState::Leaving);
    EXPECT_EQ(vms.vms.at(0).failureDomain, "rioja");
    fixture.client.setWatch("service", true);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 2u);
    fixture.client.setWatch("service", false);
}

// Guards against status writes that use up the budget of leadership calls.
TEST(CallBudget, lowPrioritiesLeaveAReserve)
{
    CallBudget budget({});
    const Instant now{seconds(100)};
    std::array<int, 4> made{};
    for (const auto it :
         {CallPriority::Status, CallPriority::Configuration, CallPriority::Grant, CallPriority::Leadership}) {
        while (budget.tryTake(now, it, CallType::Write)) {
            ++made[static_cast<std::size_t>(it)];
        }
    }
    for (const auto it : made) {
        EXPECT_GT(it, 0);
    }
    EXPECT_FALSE(budget.tryTake(now, CallPriority::Leadership, CallType::Write));
    EXPECT_TRUE(budget.tryTake(now, CallPriority::Status, CallType::Read));
}

namespace
{
/// Maximum number of calls per second that `daemons` make together around the end of an outage of 30 s. Each daemon
/// tries to call more often than its budget allows.
std::size_t peakCallsPerSecondAfterOutage(std::size_t daemons)
{
    std::vector<CallBudget> budgets;
    const Instant start{seconds(100)};
    for (std::size_t n = 0; n < daemons; ++n) {
        CallBudgetSettings settings;
        settings.seed = n;
        auto &budget = budgets.emplace_back(settings);
        budget.setDaemonCount(daemons);
        EXPECT_TRUE(budget.tryTake(start, CallPriority::Status, CallType::Read));
        budget.finish(start, false);
        EXPECT_FALSE(budget.tryTake(start, CallPriority::Leadership, CallType::Read));
    }
    std::size_t peak = 0;
    for (Instant second = start; second < start + seconds(150); second += seconds(1)) {
        std::size_t calls = 0;
        const bool isUp = second > start + seconds(30);
        for (Instant now = second; now < second + seconds(1); now += milliseconds(100)) {
            for (auto &it : budgets) {
                if (!it.tryTake(now, CallPriority::Status, CallType::Read)) {
                    continue;
                }
                it.finish(now, isUp);
                ++calls;
            }
        }
        // The first 20 s of the outage are left out, because the back-off still grows then.
        peak = std::max(peak, second < start + seconds(20) ? 0 : calls);
    }
    EXPECT_FALSE(budgets.front().isInOutage());
    return peak;
}
}

// Guards against overload of the platform after an outage: daemons that all notice its end at the same time must stay
// below the platform's 2,000 reads per second together.
TEST(CallBudget, daemonsSpreadAfterAnOutage)
{
    for (const std::size_t it : {1'000, 10'000}) {
        const auto peak = peakCallsPerSecondAfterOutage(it);
        EXPECT_LE(peak, 2'000u) << it << " daemons";
        EXPECT_GT(peak, 0u);
    }
}

namespace
{
/// Page of a list or a watch from a script of its own: the text `version revision after`.
ObjectPage scriptedPage(const std::string &text)
{
    std::istringstream in(text);
    ObjectPage page;
    StoredObject object{{"mandate", ""}, 0, 0, {}};
    in >> object.key.name >> object.version >> page.revision >> page.nextAfter;
    page.items.push_back(object);
    return page;
}

void useScriptedPages(StoreClientSettings &settings)
{
    settings.dialect.decodeList = [](const std::string &, const std::string &body) -> Result<ObjectPage> {
        return scriptedPage(body);
    };
    settings.dialect.decodeWatch = settings.dialect.decodeList;
    settings.dialect.list = [](const std::string &, const std::string &after) {
        return StoreCall{"GET", "/list/" + after, {}};
    };
    settings.dialect.watch = [](const std::string &, std::uint64_t revision, Duration) {
        return StoreCall{"GET", fmt::format("/watch/{}", revision), {}};
    };
}
}

// Guards against a daemon that keeps an older configuration until the next full list, a minute later, because the event
// with the newer one found the control thread's ring full.
TEST(StoreClient, objectThatTheHandlerCouldNotTakeIsDeliveredAgain)
{
    Fixture fixture(
        [](const std::string &request) -> std::optional<std::string> {
            const bool isList = request.find("/list/") != std::string::npos;
            return ScriptedServer::response(200, isList ? "vitrina 4 10" : "later 11 11");
        },
        useScriptedPages);
    fixture.objectsToRefuse = 2;
    fixture.client.setWatch("mandate", true);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.key.name, "vitrina");
    EXPECT_EQ(fixture.objectsToRefuse, 0);
}

// Guards against missing a change of an object that is made after its page of a list was read and before the last page
// was, and against passing on an older version of an object of a later page when the changes are read again.
TEST(StoreClient, changeBetweenThePagesOfAListIsNotMissed)
{
    Fixture fixture(
        [](const std::string &request) -> std::optional<std::string> {
            const auto path = request.substr(4, request.find(' ', 4) - 4);
            if (path == "/list/") {
                return ScriptedServer::response(200, "a 5 10 a");
            }
            if (path == "/list/a") {
                return ScriptedServer::response(200, "b 14 20");
            }
            if (path == "/watch/10") {
                return ScriptedServer::response(200, "b 12 11");
            }
            return path == "/watch/11" ? std::optional(ScriptedServer::response(200, "a 15 21")) : std::nullopt;
        },
        useScriptedPages);
    fixture.client.setWatch("mandate", true);
    std::vector<std::uint64_t> versions;
    for (int n = 0; n < 3; ++n) {
        versions.push_back(fixture.next<ObjectEvent>().object.version);
    }
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{5, 14, 15}));
}

// Guards against ignoring an object that was deleted and created anew under its name while the history was lost.
TEST(StoreClient, objectCreatedAnewReplacesTheOlderOneAfterAList)
{
    std::atomic<int> lists{0};
    Fixture fixture(
        [&](const std::string &request) -> std::optional<std::string> {
            if (request.find("/list/") == std::string::npos) {
                return ScriptedServer::response(410, "");
            }
            return ScriptedServer::response(200, lists++ == 0 ? "a 7 10" : "a 1 12");
        },
        useScriptedPages);
    fixture.client.setWatch("mandate", true);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 7U);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 1U);
}

namespace
{
std::string responseOfEra(int era, const std::string &body)
{
    return fmt::format("HTTP/1.1 200 Scripted\r\nEra: {}\r\nContent-Length: {}\r\n\r\n{}", era, body.size(), body);
}
}

// The store continues from an older copy and gives its revisions out again. Guards against going on with a watch from a
// revision that names another change now, and against ignoring objects whose versions are lower than before.
TEST(StoreClient, watchStartsAnewWhenTheStoreIsRestored)
{
    Fixture fixture(
        [lists = 0](const std::string &request) mutable -> std::optional<std::string> {
            const auto path = request.substr(4, request.find(' ', 4) - 4);
            if (path == "/list/") {
                return lists++ == 0 ? responseOfEra(1, "a 50 60") : responseOfEra(2, "a 40 45");
            }
            if (path == "/watch/60") {
                return responseOfEra(2, "b 61 61");
            }
            return path == "/watch/45" ? std::optional(responseOfEra(2, "a 46 46")) : std::nullopt;
        },
        [](StoreClientSettings &settings) {
            useScriptedPages(settings);
            settings.dialect.eraHeader = "Era";
        });
    fixture.client.setWatch("mandate", true);
    EXPECT_EQ(fixture.next<StoreEraEvent>().era, 1U);
    EXPECT_EQ(fixture.next<StoreEraEvent>().era, 2U);
    std::vector<std::string> objects;
    for (int n = 0; n < 3; ++n) {
        const auto object = fixture.next<ObjectEvent>().object;
        objects.push_back(fmt::format("{} {} {}", object.key.name, object.era, object.version));
    }
    EXPECT_EQ(objects, (std::vector<std::string>{"a 1 50", "a 2 40", "a 2 46"}));
}

// Guards against a writer that repeats a conditional write for ever, because the object does not exist any more.
TEST(StoreClient, replacingAnObjectThatIsMissingIsAConflict)
{
    Fixture fixture([](const std::string &) { return std::optional(ScriptedServer::response(404, "{}")); });
    const auto result = fixture.write(4);
    EXPECT_EQ(result.status, WriteStatus::Conflict);
    EXPECT_EQ(result.current.version, 0U);
    EXPECT_EQ(fixture.write(0).status, WriteStatus::NotSent);
}

namespace
{
void useLongWatches(StoreClientSettings &settings)
{
    useScriptedPages(settings);
    settings.watchTimeout = seconds(3'600);
    settings.shortestWatchTimeout = milliseconds(20);
    settings.watchAnswerTime = milliseconds(20);
}
}

// The connection of a watch is reset, and the store takes the next call and never answers it. Guards against a daemon
// that holds an older configuration until the end of the watch, since silence looks like "nothing has changed" (CONFIG,
// DRAIN).
TEST(StoreClient, watchIntoASilentStoreIsSentAgain)
{
    Fixture fixture(
        [polls = 0](const std::string &request) mutable -> std::optional<std::string> {
            if (request.find("/list/") != std::string::npos) {
                return polls == 0 ? ScriptedServer::response(200, "a 50 60") : ScriptedServer::response(200, "a 61 61");
            }
            ++polls;
            return polls == 1 ? std::nullopt : std::optional<std::string>("");
        },
        useLongWatches);
    fixture.client.setWatch("mandate", true);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 50U);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 61U);
}

// The store is silent to a watch while the daemon makes no other call. Guards against a daemon that does not notice,
// and holds an older configuration until the end of the watch (CONFIG, DRAIN, DENIED).
TEST(StoreClient, quietDaemonNoticesASilentStore)
{
    std::atomic<int> polls{0};
    std::atomic<int> heartbeats{0};
    Fixture fixture(
        [&](const std::string &request) -> std::optional<std::string> {
            if (request.find("/list/") != std::string::npos) {
                return ScriptedServer::response(200, "a 50 60");
            }
            if (request.find("/heartbeat") != std::string::npos) {
                return ++heartbeats <= 2 ? std::string() : ScriptedServer::response(404, "{}");
            }
            return ++polls == 1 ? std::string() : ScriptedServer::response(200, "a 61 61");
        },
        [](StoreClientSettings &settings) {
            useScriptedPages(settings);
            settings.watchTimeout = seconds(3'600);
            settings.shortestWatchTimeout = seconds(3'600);
            settings.heartbeatInterval = milliseconds(10);
            settings.heartbeatTimeout = milliseconds(50);
            settings.dialect.heartbeat = [] {
                return StoreCall{"GET", "/heartbeat", {}};
            };
        });
    fixture.client.setWatch("mandate", true);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 50U);
    for (int n = 0; n < 2'000 && polls < 2; ++n) { // bounded, so that a broken client fails
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    ASSERT_GE(polls, 2);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 61U);
}

// Guards against heartbeats as an outage: a slow store, which answers other calls, must not stop the leases of a
// leader.
TEST(StoreClient, unansweredHeartbeatIsNoOutageForOtherCalls)
{
    std::atomic<int> heartbeats{0};
    Fixture fixture(
        [&](const std::string &request) -> std::optional<std::string> {
            if (request.find("/list/") != std::string::npos) {
                return ScriptedServer::response(200, "a 50 60");
            }
            if (request.find("/heartbeat") != std::string::npos) {
                ++heartbeats;
                return std::string();
            }
            const bool isWatch = request.find("/watch/") != std::string::npos;
            return isWatch ? std::string() : ScriptedServer::response(200, "{\"version\":1}");
        },
        [](StoreClientSettings &settings) {
            useScriptedPages(settings);
            settings.watchTimeout = seconds(3'600);
            settings.heartbeatInterval = milliseconds(1);
            settings.heartbeatTimeout = milliseconds(5);
            settings.budget.firstBackOff = seconds(3'600);
            settings.budget.longestBackOff = seconds(3'600);
            settings.dialect.heartbeat = [] {
                return StoreCall{"GET", "/heartbeat", {}};
            };
        });
    fixture.client.setWatch("mandate", true);
    for (int n = 0; n < 2'000 && heartbeats < 3; ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_GE(heartbeats, 3);
    EXPECT_FALSE(fixture.client.isReachable());
    EXPECT_EQ(fixture.write().status, WriteStatus::Applied);
}

// Guards against a watch that waits since before an outage and that the store has forgotten.
TEST(StoreClient, watchFromBeforeAnOutageIsSentAgain)
{
    std::atomic<bool> isDown{false};
    std::atomic<int> polls{0};
    Fixture fixture(
        [&](const std::string &request) -> std::optional<std::string> {
            if (request.find("/list/") != std::string::npos) {
                return polls == 0 ? ScriptedServer::response(200, "a 50 60") : ScriptedServer::response(200, "a 61 61");
            }
            if (request.find("/watch/") != std::string::npos) {
                ++polls;
                return std::string();
            }
            return isDown.exchange(false) ? ScriptedServer::response(503, "")
                                          : ScriptedServer::response(200, "{\"version\":1}");
        },
        useLongWatches);
    fixture.client.setWatch("mandate", true);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 50U);
    while (polls == 0) {
        std::this_thread::yield();
    }
    isDown = true;
    EXPECT_EQ(fixture.write().status, WriteStatus::NotSent);
    EXPECT_EQ(fixture.write().status, WriteStatus::Applied);
    EXPECT_EQ(fixture.next<ObjectEvent>().object.version, 61U);
}

// review/7. Guards against a request that the dialect cannot write and that ends the process, or whose writer waits for
// ever.
TEST(StoreClient, requestThatCannotBeWrittenHasAnOutcome)
{
    Fixture fixture([](const std::string &) { return std::optional(ScriptedServer::response(200, "{\"version\":1}")); },
                    [](StoreClientSettings &settings) {
                        const auto write = settings.dialect.write;
                        settings.dialect.write = [write](const WriteObjectAction &action) {
                            return action.expectedVersion == 13 ? throw std::runtime_error("not expected")
                                                                : write(action);
                        };
                        settings.dialect.watch = [](const std::string &, std::uint64_t, Duration) -> StoreCall {
                            throw std::runtime_error("not expected");
                        };
                    });
    EXPECT_EQ(fixture.write(13).status, WriteStatus::NotSent);
    fixture.client.setWatch("mandate", true);
    EXPECT_EQ(fixture.write(4).status, WriteStatus::Applied);
}

// As above for a response that cannot be read: the write may have taken effect.
TEST(StoreClient, responseThatCannotBeReadEndsItsWrite)
{
    Fixture fixture([](const std::string &) { return std::optional(ScriptedServer::response(200, "{\"version\":1}")); },
                    [](StoreClientSettings &settings) {
                        settings.dialect.decodeWritten = [](const std::string &) -> Result<std::uint64_t> {
                            throw std::runtime_error("not expected");
                        };
                    });
    EXPECT_EQ(fixture.write(4).status, WriteStatus::Unknown);
    EXPECT_EQ(fixture.write(4).status, WriteStatus::Unknown);
}
