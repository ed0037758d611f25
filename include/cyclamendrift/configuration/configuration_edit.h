#pragma once

#include <cyclamendrift/core/error.h>

#include <cyclamendrift.pb.h>
#include <fleet.pb.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamendrift {

/// Puts a whole schema in force if the revision is still the one that its author started from.
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
/// Gives shards of limits to other owners; no change of the schema.
struct MoveShards {
    std::vector<wire::LimitShard> shards;
};
/// What a change does to the document.
using ConfigurationEdit = std::variant<ReplaceSchema, GrantKey, RevokeKey, ChangeLimits, MoveShards>;

/// The change does not apply to the document as it stands.
class EditError : public Error {
public:
    enum class Kind : std::uint8_t {
        /// The result would not be valid, or names something that does not exist.
        Invalid,
        /// Another change came first; the message gives the differences line by line.
        Conflict,
    };

    EditError(Kind kind, const std::string& message)
        : Error(message)
        , errorKind(kind)
    {
    }

    /// Why it does not apply.
    [[nodiscard]] Kind kind() const noexcept { return this->errorKind; }

private:
    Kind errorKind;
};

/// Applies a change to the content of a document, leaving its counters alone; false when everything already
/// stands as the change wants it. Throws EditError.
[[nodiscard]] bool applyEdit(const ConfigurationEdit& edit, wire::ConfigurationDocument& document);

} // namespace cyclamendrift
