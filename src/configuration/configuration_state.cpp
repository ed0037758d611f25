#include <cyclamendrift/configuration/configuration_state.h>

#include <map>
#include <string_view>

namespace cyclamendrift {

bool ConfigurationState::offer(DocumentPointer document)
{
    // A replayed or late message carries a superseded configuration. Accepting it would make a withdrawn key
    // valid again after an operator has withdrawn it.
    if (!document || document->sequence() <= this->sequence())
        return false;
    this->current = std::move(document);
    return true;
}

std::vector<KeyId> withdrawnKeys(const api::Schema& before, const api::Schema& after)
{
    std::map<std::string_view, const api::Key*> granted;
    for (const auto& key : after.keys())
        granted[key.id()] = &key;
    std::vector<KeyId> withdrawn;
    for (const auto& key : before.keys()) {
        const auto match = granted.find(key.id());
        const bool isStillGranted = match != granted.end() && match->second->team() == key.team()
            && match->second->secret_hash() == key.secret_hash();
        if (!isStillGranted)
            withdrawn.emplace_back(key.id());
    }
    return withdrawn;
}

} // namespace cyclamendrift
