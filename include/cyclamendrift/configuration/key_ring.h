#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cyclamendrift.pb.h>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamendrift {

/// A key and the team that it speaks for.
struct KeyOwner {
    KeyId key;
    TeamName team;
};

/// The keys of one revision of the configuration, found by the hash of their secret. Never changed after it
/// was made, so any thread may read it.
///
///     const KeyRing ring { schema };
///     const auto owner = ring.find(hashSecret("the secret"));
class KeyRing {
public:
    KeyRing() = default;
    explicit KeyRing(const api::Schema& schema);

    /// The owner of a secret's hash; empty when there is no such key.
    [[nodiscard]] std::optional<KeyOwner> find(std::string_view secretHash) const;

    /// The number of keys.
    [[nodiscard]] std::size_t size() const noexcept { return this->owners.size(); }

private:
    std::unordered_map<std::string, KeyOwner> owners;
};

} // namespace cyclamendrift
