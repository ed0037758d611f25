#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamendrift::standins {

/// Callers that talk to the primary themselves, to compare the proxy with.
struct DirectOptions {
    std::string host;
    std::uint16_t port = 0;
    unsigned threads = 4;
    Duration duration {};
    /// Keeps the keys of two runs apart.
    std::string prefix = "direct";
};

/// How long each request took, in order of their ends.
struct DirectTally {
    std::vector<Duration> writes;
    std::vector<Duration> reads;
    std::uint64_t failed = 0;
};

/// Runs the load of LoadOptions, a row written and read back, over one connection for each caller.
[[nodiscard]] DirectTally runDirectLoad(const DirectOptions& options);

/// The value that a share of all stay at or under, as in 0.99; zero when there are none.
[[nodiscard]] Duration percentile(std::vector<Duration> values, double share);

} // namespace cyclamendrift::standins
