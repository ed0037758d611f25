#include <cyclamendrift/leadership/pending_promotions.h>

#include <algorithm>

namespace cyclamendrift {

void PendingPromotions::recordSent(const UpstreamName& upstream, Instant now)
{
    std::erase_if(this->sent, [&](const auto& entry) { return now >= entry.second.last + this->settleTime; });
    const auto [entry, first] = this->sent.try_emplace(upstream);
    entry->second = { .last = now, .repeated = !first };
}

void PendingPromotions::recordInherited(const UpstreamName& upstream, Instant now)
{
    this->sent[upstream] = { .last = now, .repeated = true };
}

void PendingPromotions::recordOutcome(const UpstreamName& upstream)
{
    // When several promotions were sent, an outcome does not tell to which of them it belongs.
    const auto entry = this->sent.find(upstream);
    if (entry != this->sent.end() && !entry->second.repeated)
        this->sent.erase(entry);
}

bool PendingPromotions::isOtherPending(const UpstreamName& upstream, Instant now) const
{
    return std::any_of(this->sent.begin(), this->sent.end(), [&](const auto& entry) {
        return entry.first != upstream && now < entry.second.last + this->settleTime;
    });
}

} // namespace cyclamendrift
