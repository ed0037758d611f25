#include "tables.h"

#include <algorithm>
#include <string>
#include <vector>

namespace report {

namespace {

/// Keeps the order in which the benchmarks printed things, which is the order that reads best.
void addOnce(std::vector<std::string>& names, const std::string& name)
{
    if (std::ranges::find(names, name) == names.end())
        names.push_back(name);
}

struct Row {
    std::string site;
    std::string fault;

    friend bool operator==(const Row&, const Row&) = default;
};

struct Section {
    std::vector<Row> rows;
    std::vector<std::string> policies;
    std::string unit;
};

Section sectionOf(std::span<const Figure> figures, const std::string& measure)
{
    Section section;
    for (const auto& figure : figures) {
        if (figure.measure != measure)
            continue;
        const Row row { figure.site, figure.fault };
        if (std::ranges::find(section.rows, row) == section.rows.end())
            section.rows.push_back(row);
        addOnce(section.policies, figure.policy);
        section.unit = figure.unit;
    }
    return section;
}

void writeCell(std::ostream& output, std::span<const Figure> figures, const Row& row,
    const std::string& policy, const std::string& measure)
{
    const auto found = std::ranges::find_if(figures, [&](const Figure& figure) {
        return figure.site == row.site && figure.fault == row.fault && figure.policy == policy
            && figure.measure == measure;
    });
    output << " | ";
    if (found != figures.end())
        output << found->value;
    else
        output << '-';
}

void writeSection(std::ostream& output, std::span<const Figure> figures, const std::string& measure)
{
    const auto section = sectionOf(figures, measure);
    output << "\n## " << measure << " (" << section.unit << ")\n\n| site | fault";
    for (const auto& policy : section.policies)
        output << " | " << policy;
    output << " |\n|---|---";
    for (std::size_t column = 0; column < section.policies.size(); ++column)
        output << "|---:";
    output << "|\n";
    for (const auto& row : section.rows) {
        output << "| " << row.site << " | " << row.fault;
        for (const auto& policy : section.policies)
            writeCell(output, figures, row, policy, measure);
        output << " |\n";
    }
}

} // namespace

void writeTables(std::ostream& output, std::span<const Figure> figures)
{
    std::vector<std::string> measures;
    for (const auto& figure : figures)
        addOnce(measures, figure.measure);
    for (const auto& measure : measures)
        writeSection(output, figures, measure);
}

} // namespace report
