#include <cyclamendrift/failover/primary_choice.h>

#include <cyclamendrift/commits/group_view.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

bool contains(const std::vector<SlotName>& slots, const SlotName& slot)
{
    return std::find(slots.begin(), slots.end(), slot) != slots.end();
}

using Candidates = std::map<SlotName, Progress>;

Candidates without(const Candidates& candidates, const std::vector<SlotName>& avoided)
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
              // Of equals the current primary, since nothing then has to follow another.
              return right.first == current && left.first != current;
          });
    if (best == candidates.end())
        return std::nullopt;
    return best->first;
}

/// Three slots or more: each acknowledged commit is on a majority, so any majority of fenced slots has one
/// that holds it, and the most advanced log of them holds all. Avoided slots may be left out only if the rest
/// is a majority still; otherwise the one left out could be the only holder.
std::optional<SlotName> chooseByMajority(const PrimaryChoice& choice)
{
    const auto needed = majorityOf(choice.slots.size());
    if (choice.fenced.size() < needed)
        return std::nullopt;
    const auto preferred = without(choice.fenced, choice.avoided);
    return mostAdvanced(preferred.size() >= needed ? preferred : choice.fenced, choice.record.primary);
}

/// Fewer slots: each member of the in-sync set holds every commit that was acknowledged in the serving term,
/// but only once it is in that term. One that was added and has not come so far may lack what was
/// acknowledged without it in the term before. The primary holds all by itself, also when it was chosen and
/// not yet promoted.
std::optional<SlotName> chooseByInSyncSet(const PrimaryChoice& choice)
{
    Candidates eligible;
    for (const auto& [slot, progress] : choice.fenced) {
        const bool current = slot == choice.record.primary;
        const bool holdsAll = current || progress.term == choice.record.servingTerm;
        if (holdsAll && contains(choice.record.inSync, slot))
            eligible.emplace(slot, progress);
    }
    const auto preferred = without(eligible, choice.avoided);
    return mostAdvanced(preferred.empty() ? eligible : preferred, choice.record.primary);
}

} // namespace

std::optional<SlotName> choosePrimary(const PrimaryChoice& choice)
{
    if (choice.slots.size() >= majorityGroupSize)
        return chooseByMajority(choice);
    return chooseByInSyncSet(choice);
}

} // namespace cyclamendrift
