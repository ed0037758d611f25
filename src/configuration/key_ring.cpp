#include <cyclamendrift/configuration/key_ring.h>

namespace cyclamendrift {

KeyRing::KeyRing(const api::Schema& schema)
{
    for (const auto& key : schema.keys()) {
        KeyOwner owner { .key = KeyId { key.id() }, .team = TeamName { key.team() } };
        this->owners.emplace(key.secret_hash(), std::move(owner));
    }
}

std::optional<KeyOwner> KeyRing::find(std::string_view secretHash) const
{
    // Looks up the hash rather than the secret, so that the lookup time reveals nothing about any secret.
    const auto match = this->owners.find(std::string { secretHash });
    if (match == this->owners.end())
        return std::nullopt;
    return match->second;
}

} // namespace cyclamendrift
