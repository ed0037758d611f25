#pragma once

#include "figure.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace report {

/// A limit that figures must keep; an empty site or fault stands for every one.
struct Bound {
    std::string site;
    std::string fault;
    std::string policy;
    std::string measure;
    std::optional<double> atMost;
    std::optional<double> atLeast;
    unsigned line = 0;
};

/// Reads `[[bound]]` tables; throws std::runtime_error with file, line and column for anything else.
///
///     const auto bounds = readBounds("bench/bounds.toml");
[[nodiscard]] std::vector<Bound> readBounds(std::string_view path);

/// What the figures break, one sentence each. A bound that matches no figure counts as broken: otherwise a
/// benchmark that no longer prints a figure would pass.
[[nodiscard]] std::vector<std::string> brokenBounds(
    std::span<const Bound> bounds, std::span<const Figure> figures);

} // namespace report
