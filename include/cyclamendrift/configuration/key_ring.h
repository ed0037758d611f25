#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cyclamendrift.pb.h>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamendrift {

/// A key and the team that it authenticates.
struct KeyOwner {
    KeyId key;
    TeamName team;
};

/// Index of the keys of one configuration revision by the hash of their secret. Immutable after construction,
/// so any thread may read it.
///
///     const KeyRing ring { schema };
///     const auto owner = ring.find(hashSecret("the secret"));
class KeyRing {
public:
    KeyRing() = default;
    explicit KeyRing(const api::Schema& schema);

    /// Returns the key with this secret hash and its team; empty if there is no such key.
    [[nodiscard]] std::optional<KeyOwner> find(std::string_view secretHash) const;

    /// The number of keys.
    [[nodiscard]] std::size_t size() const noexcept { return this->owners.size(); }

private:
    std::unordered_map<std::string, KeyOwner> owners;
};

} // namespace cyclamendrift
