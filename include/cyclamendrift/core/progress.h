#pragma once

#include <compare>
#include <cstdint>

/// How far the log of a database has come.
namespace cyclamendrift {

/// Number of a reign of one primary; each promotion raises it.
enum class Term : std::uint64_t {};

/// Place in the log of a database, in bytes; comparable within one term only.
enum class LogPosition : std::uint64_t {};

/// A term and a position in its log. Progress of a higher term covers every acknowledged position of lower
/// ones, because a promotion keeps all that was acknowledged.
///
///     Progress { Term { 2 }, LogPosition { 0 } } > Progress { Term { 1 }, LogPosition { 900 } }; // true
struct Progress {
    Term term {};
    LogPosition position {};

    friend auto operator<=>(const Progress&, const Progress&) = default;
};

} // namespace cyclamendrift
