#pragma once

#include <random>

namespace cyclamendrift {

/// Source of random numbers that decision logic is handed, seeded by its owner: from the system in daemons,
/// with a fixed number in tests and benchmarks.
using RandomSource = std::mt19937_64;

} // namespace cyclamendrift
