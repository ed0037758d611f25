#pragma once

#include <string>
#include <vector>

namespace cyclamendrift {

/// One thing that is wrong with a schema, with its place.
struct SchemaProblem {
    /// Line in the file from 1; 0 when the schema did not come from a file.
    int line = 0;
    /// Column in the file from 1; 0 when it is not known.
    int column = 0;
    /// The field, as in "teams[2].services[0]"; empty for an error of syntax.
    std::string path;
    std::string message;

    /// The problem on one line, as in "12:5: teams[2].rate_per_second: must be above 0".
    [[nodiscard]] std::string text() const;
};

/// All problems of a schema, one on each line.
[[nodiscard]] std::string joinProblems(const std::vector<SchemaProblem>& problems);

} // namespace cyclamendrift
