#include <cyclamendrift/pooling/session_state.h>

namespace cyclamendrift {

std::vector<SetupStep> ConnectionState::stepsToMatch(const SessionState& session, const PreparedShape* needed)
{
    std::vector<SetupStep> steps;
    // There is no statement that unsets a single variable, and one left over from another session would
    // silently change the effect of this session's statements. All of them are discarded.
    if (this->holdsForeignValue(session)) {
        this->values.clear();
        this->names.clear();
        steps.emplace_back(ResetConnection {});
    }
    for (const auto& [name, value] : session.values) {
        const auto present = this->values.find(name);
        if (present != this->values.end() && present->second == value)
            continue;
        this->values[name] = value;
        steps.emplace_back(ApplyValue { .name = name, .value = value });
    }
    if (needed != nullptr && !this->names.contains(*needed)) {
        const auto name = "p" + std::to_string(this->names.size() + 1);
        this->names.emplace(*needed, name);
        steps.emplace_back(ApplyPrepared { .name = name, .shape = *needed });
    }
    return steps;
}

const std::string& ConnectionState::nameOf(const PreparedShape& shape) const { return this->names.at(shape); }

bool ConnectionState::holdsForeignValue(const SessionState& session) const
{
    for (const auto& [name, value] : this->values) {
        if (!session.values.contains(name))
            return true;
    }
    return false;
}

} // namespace cyclamendrift
