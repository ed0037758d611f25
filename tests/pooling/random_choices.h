#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace cyclamendrift {

/// Choices of a randomized scenario, which follow from its seed.
class RandomChoices {
protected:
    explicit RandomChoices(std::uint64_t seed)
        : random(seed)
    {
    }

    std::size_t randomBelow(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t> { 0, count - 1 }(this->random);
    }
    bool chance(std::size_t oneIn) { return this->randomBelow(oneIn) == 0; }

private:
    std::mt19937_64 random;
};

} // namespace cyclamendrift
