#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace cyclamendrift {

/// Takes lines from threads that must not wait, and writes them on a thread of its own. Whoever reads
/// standard output may stall; a line that finds no room then is left out and counted, and nobody who serves
/// callers waits for it. Lines that come together are written together, which also costs less.
///
///     LineQueue queue { { .write = [](std::string_view text) { std::cout << text; } } };
///     if (!queue.put("event=started\n"))
///         ++leftOut;
class LineQueue {
public:
    struct Options {
        /// Writes whole lines; may take any time.
        std::function<void(std::string_view)> write;
        /// Bytes of lines that wait at the most; some two thousand lines.
        std::size_t maxBytes = std::size_t { 256 } << 10U;
        /// The thread rests this long after it has written, so that lines gather. A process that is killed
        /// loses what came since.
        Duration rest = std::chrono::milliseconds { 20 };
    };

    explicit LineQueue(Options options);
    /// Does not wait for a writer that stalls; its thread ends once the write has.
    ~LineQueue();
    LineQueue(const LineQueue&) = delete;
    LineQueue& operator=(const LineQueue&) = delete;

    /// Takes a line in; false when it was left out. Never waits for the writer. A text that also tells of
    /// lines left out before counts for these as well when it is left out itself.
    [[nodiscard]] bool put(std::string_view line, std::uint64_t standsFor = 1);

    /// Lines left out since the last call.
    [[nodiscard]] std::uint64_t takeLeftOut();

    /// Waits until everything so far is written; false when that takes longer.
    bool flush(Duration atMost);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
