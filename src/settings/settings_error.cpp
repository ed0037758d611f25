#include <cyclamendrift/settings/settings_error.h>

#include <utility>

namespace cyclamendrift {

std::string SettingsProblem::text() const
{
    if (this->line == 0)
        return this->file + ": " + this->message;
    return this->file + ':' + std::to_string(this->line) + ':' + std::to_string(this->column) + ": "
        + this->message;
}

SettingsError::SettingsError(std::vector<SettingsProblem> problems)
    : Error(problems.empty() ? "invalid settings" : problems.front().text())
    , found(std::move(problems))
{
}

} // namespace cyclamendrift
