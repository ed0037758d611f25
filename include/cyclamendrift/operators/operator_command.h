#pragma once

#include <cyclamendrift/operators/operator_client.h>

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>

/// What cyclamendriftctl does.
namespace cyclamendrift {

/// Checks a schema file without any proxy.
struct ValidateCommand {
    std::string file;
};
/// Shows what applying a schema file would change.
struct DiffCommand {
    std::string file;
};
/// Puts a schema file in force, if the revision is still the expected one.
struct ApplyCommand {
    std::string file;
    std::uint64_t expectedRevision = 0;
};
/// Shows the schema in force.
struct ShowCommand { };
/// Makes a key for a team.
struct GrantCommand {
    std::string team;
    /// Made up when empty.
    std::string keyId;
    /// Where the secret comes from, "-" for standard input; a random one is made when empty.
    std::string keySecretFile;
    bool printSecretOnly = false;
};
/// Withdraws a key.
struct RevokeCommand {
    std::string keyId;
};
/// Sets rate and burst of a team.
struct LimitsCommand {
    std::string team;
    double ratePerSecond = 0;
    std::uint32_t burst = 0;
};
/// Shows how the fleet fares.
struct StatusCommand {
    bool json = false;
};

using OperatorCommand = std::variant<ValidateCommand, DiffCommand, ApplyCommand, ShowCommand, GrantCommand,
    RevokeCommand, LimitsCommand, StatusCommand>;

/// Exit codes of cyclamendriftctl.
enum class OperatorExit : int { Done = 0, Refused = 1, Usage = 2, UnreachableOrUnknown = 3, Conflict = 4 };

/// Where commands read and write.
struct OperatorStreams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// What all commands share.
struct OperatorOptions {
    OperatorClient::Options client;
    /// Id of the change; made up when empty. Give the id of an earlier try whose outcome is unknown.
    std::string changeId;
};

/// Runs one command and reports what went wrong on `err`.
[[nodiscard]] OperatorExit runOperatorCommand(
    const OperatorCommand& command, const OperatorOptions& options, OperatorStreams streams);

} // namespace cyclamendrift
