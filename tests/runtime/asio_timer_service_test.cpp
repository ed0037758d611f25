#include <cyclamendrift/runtime/asio_timer_service.h>
#include <cyclamendrift/runtime/context_runner.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <doctest/doctest.h>

#include <stdexcept>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("event loops")
{
    TEST_CASE("a handler that fails does not end its event loop")
    {
        // Guards against a process that ends, with all of its sessions, because of one event.
        asio::io_context context { 1 };
        int handled = 0;
        asio::post(context, [] { throw std::runtime_error { "an event that cannot be handled" }; });
        asio::post(context, [&handled] { ++handled; });
        CHECK_NOTHROW(runContext(context, "test"));
        CHECK(handled == 1);
    }

    TEST_CASE("a timer whose tick fails goes on ticking")
    {
        // Guards against time limits that are no longer checked after one failure.
        asio::io_context context { 1 };
        AsioTimerService timers { context.get_executor() };
        int ticks = 0;
        const auto subscription = timers.every(1ms, [&](Instant) {
            if (++ticks == 3)
                context.stop();
            if (ticks == 1)
                throw std::runtime_error { "a tick that fails" };
        });
        runContext(context, "test");
        CHECK(ticks == 3);
    }
}
