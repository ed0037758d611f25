#pragma once

#include <istream>
#include <string>
#include <vector>

namespace report {

/// One measured figure, as a benchmark printed it.
struct Figure {
    std::string site;
    std::string fault;
    std::string policy;
    std::string measure;
    double value = 0;
    std::string unit;
};

/// Reads lines of `site,fault,policy,measure,value,unit`; throws std::runtime_error naming the line that is
/// not one.
///
///     const auto figures = readFigures(std::cin);
[[nodiscard]] std::vector<Figure> readFigures(std::istream& input);

} // namespace report
