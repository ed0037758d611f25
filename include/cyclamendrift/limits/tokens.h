#pragma once

#include <cyclamendrift/core/instant.h>

#include <compare>
#include <cstdint>

namespace cyclamendrift {

/// A number of requests that may be admitted, in millionths, so that a bucket can be split into shards
/// without losing or adding a remainder.
///
///     oneRequest.millionths; // 1000000
struct Tokens {
    std::int64_t millionths = 0;

    friend auto operator<=>(const Tokens&, const Tokens&) = default;
    friend Tokens operator+(Tokens left, Tokens right) noexcept
    {
        return { left.millionths + right.millionths };
    }
    friend Tokens operator-(Tokens left, Tokens right) noexcept
    {
        return { left.millionths - right.millionths };
    }
    Tokens& operator+=(Tokens other) noexcept
    {
        this->millionths += other.millionths;
        return *this;
    }
    Tokens& operator-=(Tokens other) noexcept
    {
        this->millionths -= other.millionths;
        return *this;
    }
};

/// The tokens that one request uses.
inline constexpr Tokens oneRequest { 1000000 };

/// Rate and burst of a team or of one shard of it.
struct LimitRule {
    Tokens ratePerSecond;
    Tokens burst;

    friend bool operator==(const LimitRule&, const LimitRule&) = default;
};

/// Tokens that accrue at a rate over a time, rounded down.
[[nodiscard]] Tokens accrued(Tokens ratePerSecond, Duration elapsed) noexcept;

/// Time in which an amount accrues, rounded up.
[[nodiscard]] Duration timeToAccrue(Tokens ratePerSecond, Tokens amount) noexcept;

/// Rate and burst of one of `count` shards; the shards add up to the whole exactly.
[[nodiscard]] LimitRule shardOf(const LimitRule& whole, std::uint32_t index, std::uint32_t count) noexcept;

/// Number of shards for a burst given in requests: as many as leave each shard a few requests, at most eight.
[[nodiscard]] std::uint32_t shardCountFor(std::uint32_t burst) noexcept;

} // namespace cyclamendrift
