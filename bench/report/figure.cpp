#include "figure.h"

#include <array>
#include <charconv>
#include <sstream>
#include <stdexcept>

namespace report {

namespace {

constexpr std::size_t fieldCount = 6;
constexpr std::size_t valueField = 4;

[[noreturn]] void refuse(std::size_t lineNumber, const std::string& line)
{
    throw std::runtime_error(
        "figure " + std::to_string(lineNumber) + " is not site,fault,policy,measure,value,unit: " + line);
}

double parseValue(const std::string& text, std::size_t lineNumber, const std::string& line)
{
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        refuse(lineNumber, line);
    return value;
}

Figure parseLine(const std::string& line, std::size_t lineNumber)
{
    std::array<std::string, fieldCount> fields;
    std::istringstream stream { line };
    for (auto& field : fields) {
        if (!std::getline(stream, field, ',') || field.empty())
            refuse(lineNumber, line);
    }
    if (std::string rest; std::getline(stream, rest))
        refuse(lineNumber, line);
    return { .site = fields[0],
        .fault = fields[1],
        .policy = fields[2],
        .measure = fields[3],
        .value = parseValue(fields[valueField], lineNumber, line),
        .unit = fields[5] };
}

} // namespace

std::vector<Figure> readFigures(std::istream& input)
{
    std::vector<Figure> figures;
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(input, line);) {
        ++lineNumber;
        if (!line.empty())
            figures.push_back(parseLine(line, lineNumber));
    }
    return figures;
}

} // namespace report
