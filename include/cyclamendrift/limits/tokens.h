#pragma once

#include <cyclamendrift/core/instant.h>

#include <compare>
#include <cstdint>

namespace cyclamendrift {

/// An amount of admissions, counted in millionths so that a bucket can be split into shards without a
/// remainder that is lost or made up.
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

/// What one request takes.
inline constexpr Tokens oneRequest { 1000000 };

/// Rate and burst of a team or of one shard of it.
struct LimitRule {
    Tokens ratePerSecond;
    Tokens burst;

    friend bool operator==(const LimitRule&, const LimitRule&) = default;
};

/// What accrues at a rate over a time, rounded down.
[[nodiscard]] Tokens accrued(Tokens ratePerSecond, Duration elapsed) noexcept;

/// The time in which an amount accrues, rounded up.
[[nodiscard]] Duration timeToAccrue(Tokens ratePerSecond, Tokens amount) noexcept;

/// The rule of one of `count` shards; all of them together add up to the whole exactly.
[[nodiscard]] LimitRule shardOf(const LimitRule& whole, std::uint32_t index, std::uint32_t count) noexcept;

/// How many shards a team of this burst gets: as many as leave each a few requests, at most eight.
[[nodiscard]] std::uint32_t shardCountFor(std::uint32_t burst) noexcept;

} // namespace cyclamendrift
