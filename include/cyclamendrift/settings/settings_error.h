#pragma once

#include <cyclamendrift/core/error.h>

#include <string>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// One thing that is wrong with a settings file, with its place.
struct SettingsProblem {
    std::string file;
    /// Line and column from 1; 0 when the problem is about the file as a whole.
    unsigned line = 0;
    unsigned column = 0;
    /// What is wrong and what would be right.
    std::string message;

    /// The problem on one line, as in "proxy.toml:12:8: callers.port must be a number from 0 to 65535".
    [[nodiscard]] std::string text() const;
};

/// Settings that can't be used; holds every problem at once.
class SettingsError : public Error {
public:
    explicit SettingsError(std::vector<SettingsProblem> problems);

    /// All that was found, in the order of the file.
    [[nodiscard]] const std::vector<SettingsProblem>& problems() const noexcept { return this->found; }

private:
    std::vector<SettingsProblem> found;
};

} // namespace cyclamendrift
