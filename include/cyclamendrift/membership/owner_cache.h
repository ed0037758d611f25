#pragma once

#include <cyclamendrift/membership/owner_selection.h>

#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamendrift {

/// Caches the owners of keys until a change of the candidates may affect them. Thread-safe. Ranking thousands
/// of VMs for each request would cost more than the request.
///
///     cache.setCandidates(view.candidates());
///     const auto owners = cache.owners("database/register/beds", 2);
class OwnerCache {
public:
    /// Replaces the candidates and removes only the keys whose owners may change by it.
    void setCandidates(std::vector<OwnerCandidate> next);

    /// The first `count` owners of a key, highest weight first. The count must always be the same for one
    /// key.
    [[nodiscard]] std::vector<OwnerCandidate> owners(const std::string& key, std::size_t count);

private:
    [[nodiscard]] static bool mayChangeOwners(const std::string& key, std::span<const OwnerCandidate> owners,
        std::span<const OwnerCandidate> added, std::span<const OwnerCandidate> removed);

    std::mutex mutex;
    std::vector<OwnerCandidate> candidates;
    std::unordered_map<std::string, std::vector<OwnerCandidate>> cachedOwners;
};

} // namespace cyclamendrift
