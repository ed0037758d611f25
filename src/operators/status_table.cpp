#include "status_table.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <string>
#include <vector>

namespace cyclamendrift {

namespace {

using Line = std::vector<std::string>;

void writeColumns(const std::vector<Line>& lines, std::ostream& out)
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(lines.front().size());
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column)
            widths[column] = std::max(widths[column], line[column].size());
    }
    for (const auto& line : lines) {
        for (std::size_t column = 0; column + 1 < line.size(); ++column)
            out << std::left << std::setw(static_cast<int>(widths[column] + gap)) << line[column];
        out << line.back() << '\n';
    }
}

std::string yesOrNo(bool value) { return value ? "yes" : "no"; }

std::string join(const google::protobuf::RepeatedPtrField<std::string>& names)
{
    std::string text;
    for (const auto& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

} // namespace

void writeStatusTable(const api::StatusResponse& status, std::ostream& out)
{
    out << "revision " << status.revision() << "\n\n";
    std::vector<Line> vms { { "VM", "ZONE", "STATE", "REVISION", "KEYS TRUSTED", "STORE" } };
    for (const auto& vm : status.vms())
        vms.push_back({ vm.vm(), vm.availability_zone(), vm.state(), std::to_string(vm.revision()),
            yesOrNo(vm.keys_trusted()), vm.store_reachable() ? "reachable" : "unreachable" });
    writeColumns(vms, out);
    out << '\n';
    std::vector<Line> databases { { "DATABASE", "TERM", "PRIMARY", "STATE", "HOMES" } };
    for (const auto& database : status.databases())
        databases.push_back({ database.service() + '/' + database.database(), std::to_string(database.term()),
            database.primary(), database.state(), join(database.homes()) });
    writeColumns(databases, out);
}

} // namespace cyclamendrift
