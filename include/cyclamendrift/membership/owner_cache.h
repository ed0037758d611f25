#pragma once

#include <cyclamendrift/membership/owner_selection.h>

#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamendrift {

/// Remembers the homes of subjects until a change of members touches them; safe to call from any thread.
/// Ranking thousands of VMs for each request would cost more than the request.
///
///     cache.setCandidates(view.candidates());
///     const auto homes = cache.homes("database/register/beds", 2);
class OwnerCache {
public:
    /// Replaces the candidates and forgets only those subjects whose homes may change by it.
    void setCandidates(std::vector<OwnerCandidate> next);

    /// The first `count` homes of a subject, best first; always asked with the same count for one subject.
    [[nodiscard]] std::vector<OwnerCandidate> owners(const std::string& key, std::size_t count);

private:
    [[nodiscard]] static bool mayChangeOwners(const std::string& key, std::span<const OwnerCandidate> owners,
        std::span<const OwnerCandidate> added, std::span<const OwnerCandidate> removed);

    std::mutex mutex;
    std::vector<OwnerCandidate> candidates;
    std::unordered_map<std::string, std::vector<OwnerCandidate>> cachedOwners;
};

} // namespace cyclamendrift
