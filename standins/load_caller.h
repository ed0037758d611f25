#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamendrift::standins {

/// What became of the requests of a load run.
struct LoadTally {
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;
    /// Requests whose connection ended before the whole answer had come.
    std::uint64_t cut = 0;
    /// Connections refused, as by a VM that has stopped; nothing was sent, and another VM is tried.
    std::uint64_t refusedConnections = 0;
    /// Reads that did not show the session's own last write.
    std::uint64_t staleReads = 0;
    /// Rows that were acknowledged, to be looked for afterwards.
    std::vector<std::string> acknowledged;
    /// Longest time between one success and the next.
    Duration longestGap {};
    /// How long each request that succeeded took.
    std::vector<Duration> writes;
    std::vector<Duration> reads;
};

/// Callers that reserve beds: each writes a row with a key of its own, then reads it back in the same session
/// at the next VM of the list, as a balancer would send it.
struct LoadOptions {
    /// Base URLs of the callers' ports, as in "http://127.0.0.1:8080".
    std::vector<std::string> endpoints;
    std::string key;
    std::string service;
    std::string database;
    unsigned threads = 4;
    Duration duration {};
    /// Pause of a caller between its requests.
    Duration pause {};
    /// Keeps the keys of two runs apart.
    std::string prefix = "bed";
};

/// Runs the load to its end.
[[nodiscard]] LoadTally runLoad(const LoadOptions& options);

/// How many of these rows the database now holds exactly once.
[[nodiscard]] std::uint64_t countPresent(const LoadOptions& options, const std::vector<std::string>& rows);

} // namespace cyclamendrift::standins
