#pragma once

#include <cyclamendrift/core/error.h>

#include <cyclamendrift.pb.h>
#include <fleet.pb.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamendrift {

/// Replaces the whole schema if the document is still at the revision that the author edited.
struct ReplaceSchema {
    std::uint64_t expectedRevision = 0;
    api::Schema schema;
};
/// Adds a key.
struct GrantKey {
    api::Key key;
};
/// Removes a key.
struct RevokeKey {
    std::string keyId;
};
/// Changes the rate and burst of a team.
struct ChangeLimits {
    std::string team;
    double ratePerSecond = 0;
    std::uint32_t burst = 0;
};
/// Assigns limit shards to other owners; the schema stays as it is.
struct MoveShards {
    std::vector<wire::LimitShard> shards;
};
/// One change to the content of the configuration document.
using ConfigurationEdit = std::variant<ReplaceSchema, GrantKey, RevokeKey, ChangeLimits, MoveShards>;

/// Thrown when a change cannot be applied to the current document.
class EditError : public Error {
public:
    enum class Kind : std::uint8_t {
        /// The resulting schema would be invalid, or the change refers to an object that does not exist.
        Invalid,
        /// Another change was applied first; the message lists the differences line by line.
        Conflict,
    };

    EditError(Kind kind, const std::string& message)
        : Error(message)
        , errorKind(kind)
    {
    }

    /// The reason why the change cannot be applied.
    [[nodiscard]] Kind kind() const noexcept { return this->errorKind; }

private:
    Kind errorKind;
};

/// Applies a change to the content of a document without touching its counters. Returns false if the document
/// already has the requested content. Throws EditError.
[[nodiscard]] bool applyEdit(const ConfigurationEdit& edit, wire::ConfigurationDocument& document);

} // namespace cyclamendrift
