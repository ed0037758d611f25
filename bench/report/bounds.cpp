#include "bounds.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>

namespace report {

namespace {

constexpr std::array knownKeys { "site", "fault", "policy", "measure", "at_most", "at_least" };

[[noreturn]] void refuse(const toml::source_region& source, const std::string& message)
{
    std::ostringstream text;
    text << *source.path << ':' << source.begin.line << ':' << source.begin.column << ": " << message;
    throw std::runtime_error(text.str());
}

Bound readBound(const toml::table& table)
{
    for (const auto& [key, value] : table) {
        if (std::ranges::find(knownKeys, key.str()) == knownKeys.end())
            refuse(key.source(), "unknown key " + std::string { key.str() });
    }
    Bound bound { .site = table["site"].value_or(std::string {}),
        .fault = table["fault"].value_or(std::string {}),
        .policy = table["policy"].value_or(std::string { "ours" }),
        .measure = table["measure"].value_or(std::string {}),
        .atMost = table["at_most"].value<double>(),
        .atLeast = table["at_least"].value<double>(),
        .line = table.source().begin.line };
    if (bound.measure.empty())
        refuse(table.source(), "a bound names its measure");
    if (!bound.atMost && !bound.atLeast)
        refuse(table.source(), "a bound has at_most, at_least or both");
    return bound;
}

bool matches(const std::string& wanted, const std::string& actual)
{
    return wanted.empty() || wanted == actual;
}

bool covers(const Bound& bound, const Figure& figure)
{
    return matches(bound.site, figure.site) && matches(bound.fault, figure.fault)
        && bound.policy == figure.policy && bound.measure == figure.measure;
}

std::string describe(const Figure& figure, std::string_view relation, double limit, unsigned line)
{
    std::ostringstream text;
    text << figure.site << ", " << figure.fault << ": " << figure.measure << " is " << figure.value << ' '
         << figure.unit << ", " << relation << ' ' << limit << " (bound at line " << line << ')';
    return text.str();
}

} // namespace

std::vector<Bound> readBounds(std::string_view path)
{
    std::vector<Bound> bounds;
    try {
        const auto document = toml::parse_file(path);
        const auto* tables = document["bound"].as_array();
        if (tables == nullptr)
            throw std::runtime_error(std::string { path } + ": no [[bound]] in it");
        for (const auto& element : *tables) {
            const auto* table = element.as_table();
            if (table == nullptr)
                refuse(element.source(), "a bound is a table");
            bounds.push_back(readBound(*table));
        }
    } catch (const toml::parse_error& error) {
        refuse(error.source(), std::string { error.description() });
    }
    return bounds;
}

std::vector<std::string> brokenBounds(std::span<const Bound> bounds, std::span<const Figure> figures)
{
    std::vector<std::string> broken;
    for (const auto& bound : bounds) {
        auto matched = false;
        for (const auto& figure : figures) {
            if (!covers(bound, figure))
                continue;
            matched = true;
            if (bound.atMost && figure.value > *bound.atMost)
                broken.push_back(describe(figure, "over", *bound.atMost, bound.line));
            if (bound.atLeast && figure.value < *bound.atLeast)
                broken.push_back(describe(figure, "under", *bound.atLeast, bound.line));
        }
        if (!matched)
            broken.push_back("no figure for the bound at line " + std::to_string(bound.line));
    }
    return broken;
}

} // namespace report
