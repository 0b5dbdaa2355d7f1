#include <atomic>
#include <ctime>

#include <gtest/gtest.h>

#include "daemon/controlthread_p.h"

using namespace Galenarock;

namespace
{
bool waitUntil(const std::function<bool()> &condition)
{
    for (int n = 0; n < 10'000 && !condition(); ++n) {
        const timespec pause{0, 1'000'000};
        nanosleep(&pause, nullptr);
    }
    return condition();
}
}

// Guards against one event with an unexpected error that ends the daemon, and with it all that it leads.
TEST(ControlThreadTest, EventThatFailsIsDropped)
{
    Metrics metrics;
    std::atomic<int> handled{0};
    std::atomic<int> batches{0};
    ControlThread control(metrics,
                          {[&](Instant, const ControlEvent &event) {
                               if (const auto *missing = std::get_if<ObjectMissingEvent>(&event)) {
                                   ++handled;
                                   if (missing->key.name == "bad") {
                                       throw std::runtime_error("not expected");
                                   }
                               }
                           },
                           [&](Instant) {
                               if (++batches == 3) {
                                   throw std::runtime_error("not expected either");
                               }
                           }});
    control.start();
    for (const auto *name : {"good", "bad", "good"}) {
        control.post(EventSource::Main, ObjectMissingEvent{{"kind", name}});
    }
    EXPECT_TRUE(waitUntil([&] { return handled == 3 && batches > 5; }));
    control.stop();
}
