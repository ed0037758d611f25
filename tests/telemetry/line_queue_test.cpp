#include <cyclamendrift/telemetry/line_queue.h>

#include <doctest/doctest.h>

#include <future>
#include <mutex>
#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// A reader of the log that stalls until it is let go on.
class StallingReader {
public:
    void take(std::string_view text)
    {
        this->letGo.wait();
        const std::lock_guard lock { this->mutex };
        this->text += text;
    }
    void goOn() { this->go.set_value(); }
    [[nodiscard]] std::string taken()
    {
        const std::lock_guard lock { this->mutex };
        return this->text;
    }

private:
    std::promise<void> go;
    std::shared_future<void> letGo = this->go.get_future().share();
    std::mutex mutex;
    std::string text;
};

} // namespace

TEST_SUITE("the queue of log lines")
{
    TEST_CASE("a reader that stalls holds up nobody who logs, and learns how much it has missed")
    {
        // Whatever collects the log stops reading and the pipe fills up. A thread that wrote its lines itself
        // would stand still, and with it every caller of this VM, though all the rest is well.
        const auto reader = std::make_shared<StallingReader>();
        LineQueue queue {
            { .write = [reader](std::string_view text) { reader->take(text); }, .maxBytes = 100, .rest = 1ms }
        };
        std::uint64_t refused = 0;
        for (int line = 0; line < 1000; ++line)
            refused += queue.put("0123456789") ? 0 : 1;
        // Ten lines fit, and as many again if the thread had taken the first ones in hand.
        CHECK(refused >= 1000 - 20);
        CHECK(queue.takeLeftOut() == refused);
        CHECK(queue.takeLeftOut() == 0);
        CHECK_FALSE(queue.flush(1ms));
        reader->goOn();
        CHECK(queue.flush(10s));
        CHECK(reader->taken().size() == 10 * (1000 - refused));
        CHECK(queue.put("there is room again"));
        CHECK(queue.flush(10s));
        CHECK(reader->taken().ends_with("there is room again"));
    }

    TEST_CASE("a queue may be dropped while its reader stalls")
    {
        // The process ends, or the settings name another file, while the reader of the old log still stalls.
        // Waiting for it would keep the process from ending within its grace time.
        const auto reader = std::make_shared<StallingReader>();
        {
            LineQueue queue { { .write = [reader](std::string_view text) { reader->take(text); } } };
            CHECK(queue.put("a line"));
        }
        reader->goOn();
    }
}
