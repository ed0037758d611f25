#include <cyclamendrift/configuration/configuration_trust.h>

#include <cyclamendrift/membership/owner_selection.h>

#include <algorithm>

namespace cyclamendrift {

std::size_t quorumOf(std::size_t count) noexcept
{
    constexpr std::size_t smallFleet = 4;
    if (count < smallFleet)
        return count / 2 + 1;
    return (count + 1) / 2 + 1;
}

std::vector<VmName> selectWitnesses(std::span<const VmName> listed)
{
    std::vector<OwnerCandidate> candidates;
    candidates.reserve(listed.size());
    // All candidates get the same availability zone, so that witnesses are selected by hash weight alone and
    // a change of the list by one VM replaces at most one witness.
    for (const auto& vm : listed)
        candidates.push_back({ .vm = vm, .zone = ZoneName {} });
    std::vector<VmName> names;
    for (auto& chosen : selectOwners(candidates, "witness", maxWitnesses))
        names.push_back(std::move(chosen.vm));
    return names;
}

void ConfigurationTrust::setWitnesses(std::vector<VmName> witnesses)
{
    this->names = std::move(witnesses);
    std::erase_if(
        this->witnessStatement, [this](const auto& entry) { return !this->isWitness(entry.first); });
}

void ConfigurationTrust::onStoreRead(std::uint64_t sequence, Instant requestedAt)
{
    if (this->storeRead.requestedAt >= requestedAt)
        return;
    this->storeRead = { .sequence = sequence, .requestedAt = requestedAt };
}

void ConfigurationTrust::onStatement(const Statement& statement)
{
    if (!this->isWitness(statement.witness))
        return;
    auto& known = this->witnessStatement[statement.witness];
    if (known.witness.empty()) {
        known = statement;
        return;
    }
    // A higher sequence is always newer, whatever the times say: an age that was forwarded by several
    // processes is only an upper bound.
    const bool newer = statement.sequence > known.sequence
        || (statement.sequence == known.sequence && statement.madeAt > known.madeAt);
    if (newer)
        known = statement;
}

Instant ConfigurationTrust::trustedUntil(std::uint64_t sequence) const
{
    auto confirmed = Instant::min();
    if (this->storeRead.sequence <= sequence)
        confirmed = this->storeRead.requestedAt;
    std::vector<Instant> times;
    for (const auto& [vm, statement] : this->witnessStatement) {
        if (statement.sequence <= sequence)
            times.push_back(statement.madeAt);
    }
    const auto quorum = quorumOf(this->names.size());
    if (!this->names.empty() && times.size() >= quorum) {
        // The oldest of the `quorum` latest statements decides, because the quorum confirms the configuration
        // only while each of its statements is within the window.
        const auto last = times.begin() + static_cast<std::ptrdiff_t>(quorum - 1);
        std::nth_element(times.begin(), last, times.end(), std::greater<> {});
        confirmed = std::max(confirmed, *last);
    }
    return confirmed == Instant::min() ? confirmed : confirmed + this->options.window;
}

bool ConfigurationTrust::isAccepted(std::uint64_t sequence) const
{
    const auto holders = std::count_if(this->witnessStatement.begin(), this->witnessStatement.end(),
        [sequence](const auto& entry) { return entry.second.sequence >= sequence; });
    return !this->names.empty() && static_cast<std::size_t>(holders) >= quorumOf(this->names.size());
}

std::vector<ConfigurationTrust::Statement> ConfigurationTrust::statements() const
{
    std::vector<Statement> all;
    all.reserve(this->witnessStatement.size());
    for (const auto& [vm, statement] : this->witnessStatement)
        all.push_back(statement);
    return all;
}

bool ConfigurationTrust::isWitness(const VmName& vm) const
{
    return std::find(this->names.begin(), this->names.end(), vm) != this->names.end();
}

} // namespace cyclamendrift
