#include <cyclamendrift/failover/primary_selection.h>

#include <cyclamendrift/commits/group_view.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

bool contains(const std::vector<SlotName>& slots, const SlotName& slot)
{
    return std::find(slots.begin(), slots.end(), slot) != slots.end();
}

using Candidates = std::map<SlotName, Progress>;

Candidates excluding(const Candidates& candidates, const std::vector<SlotName>& avoided)
{
    Candidates rest = candidates;
    std::erase_if(rest, [&](const auto& entry) { return contains(avoided, entry.first); });
    return rest;
}

std::optional<SlotName> mostAdvanced(const Candidates& candidates, const SlotName& current)
{
    const auto best
        = std::max_element(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
              if (left.second != right.second)
                  return left.second < right.second;
              // Prefer the current primary among equals, so that no replica has to change its source.
              return right.first == current && left.first != current;
          });
    if (best == candidates.end())
        return std::nullopt;
    return best->first;
}

/// Groups of three or more slots: each acknowledged commit is on a majority, so any majority of fenced slots
/// contains one that holds it, and the most advanced log among them holds every acknowledged commit. Avoided
/// slots are excluded only if the remaining slots are still a majority; otherwise an excluded slot could be
/// the only holder of a commit.
std::optional<SlotName> selectByMajority(const PrimarySelectionInput& input)
{
    const auto majority = majorityOf(input.slots.size());
    if (input.fenced.size() < majority)
        return std::nullopt;
    const auto preferred = excluding(input.fenced, input.avoided);
    return mostAdvanced(preferred.size() >= majority ? preferred : input.fenced, input.record.primary);
}

/// Smaller groups: a member of the in-sync set holds every acknowledged commit, but only once its log has
/// reached the serving term. A member that was added and has not reached that term may lack commits that were
/// acknowledged without it in the previous term. The primary always holds every acknowledged commit, even if
/// it was selected but not yet promoted.
std::optional<SlotName> selectByInSyncSet(const PrimarySelectionInput& input)
{
    Candidates eligible;
    for (const auto& [slot, progress] : input.fenced) {
        const bool current = slot == input.record.primary;
        const bool holdsAllCommits = current || progress.term == input.record.servingTerm;
        if (holdsAllCommits && contains(input.record.inSync, slot))
            eligible.emplace(slot, progress);
    }
    const auto preferred = excluding(eligible, input.avoided);
    return mostAdvanced(preferred.empty() ? eligible : preferred, input.record.primary);
}

} // namespace

std::optional<SlotName> selectPrimary(const PrimarySelectionInput& input)
{
    if (input.slots.size() >= minMajorityGroupSize)
        return selectByMajority(input);
    return selectByInSyncSet(input);
}

} // namespace cyclamendrift
