#include <cyclamendrift/membership/membership_view.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace cyclamendrift {

namespace {

/// An update is sent this many times per bit of the fleet's size (its binary logarithm).
constexpr std::size_t sendsPerSizeBit = 3;

bool overrides(const MemberRecord& update, const MemberRecord& current) noexcept
{
    if (update.incarnation != current.incarnation)
        return update.incarnation > current.incarnation;
    return update.state > current.state;
}

} // namespace

std::string_view nameOf(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "unreachable";
    }
    return "unreachable";
}

MembershipView::MembershipView(Options options)
    : options(std::move(options))
    , random(this->options.randomSeed)
{
    this->disseminate(this->options.self.vm);
}

std::size_t MembershipView::sendsPerUpdate() const noexcept
{
    return sendsPerSizeBit * static_cast<std::size_t>(std::bit_width(this->entries.size() + 1));
}

void MembershipView::disseminate(const VmName& vm)
{
    auto& remainingSends = this->remainingSends[vm];
    if (remainingSends == 0)
        this->gossipUpdates.push_front(vm);
    remainingSends = this->sendsPerUpdate();
}

bool MembershipView::isCandidate(const Entry& entry) const noexcept
{
    const bool works = entry.record.state == MemberState::Live || entry.record.state == MemberState::Suspect;
    return works && !entry.listedLeaving;
}

void MembershipView::onList(std::span<const ListedVm> listed)
{
    for (auto& [vm, entry] : this->entries)
        entry.listed = false;
    for (const auto& listedVm : listed) {
        if (listedVm.vm != this->options.self.vm)
            this->applyListed(listedVm);
    }
    // The list lags: a VM that is not on it may be new, so only VMs that are leaving or dead are removed.
    const auto removed = std::erase_if(this->entries, [](const auto& item) {
        return !item.second.listed && item.second.record.state >= MemberState::Leaving;
    });
    if (removed > 0)
        ++this->currentVersion;
}

void MembershipView::applyListed(const ListedVm& listedVm)
{
    auto [position, isNew] = this->entries.try_emplace(listedVm.vm);
    auto& entry = position->second;
    entry.listed = true;
    if (isNew)
        entry.record = { .vm = listedVm.vm, .zone = listedVm.zone };
    if (isNew || entry.listedLeaving != listedVm.leaving) {
        entry.listedLeaving = listedVm.leaving;
        ++this->currentVersion;
    }
    // A VM that was replaced keeps its name and gets another address. Until it sends its own record, the list
    // is the better source for its address.
    if (entry.record.incarnation != 0
        || (entry.record.host == listedVm.host && entry.record.port == listedVm.port))
        return;
    entry.record.host = listedVm.host;
    entry.record.port = listedVm.port;
    ++this->currentVersion;
}

void MembershipView::onContact(const MemberRecord& sender, std::span<const MemberRecord> updates, Instant now)
{
    this->applyUpdate(sender, now);
    for (const auto& update : updates)
        this->applyUpdate(update, now);
    this->setLinkWorking(sender.vm, true);
}

void MembershipView::applyUpdate(const MemberRecord& record, Instant now)
{
    if (record.vm == this->options.self.vm) {
        this->refute(record);
        return;
    }
    auto [position, isNew] = this->entries.try_emplace(record.vm);
    auto& entry = position->second;
    if (!isNew && !overrides(record, entry.record))
        return;
    if (isNew && record.state == MemberState::Dead) {
        this->entries.erase(position);
        return;
    }
    const auto oldState = entry.record.state;
    if (isNew || entry.record.incarnation != record.incarnation)
        ++this->currentVersion;
    entry.record = record;
    entry.record.state = oldState;
    this->setState(entry, record.state, now);
    this->disseminate(record.vm);
}

void MembershipView::refute(const MemberRecord& update)
{
    auto& self = this->options.self;
    const bool aboutThisProcess = update.process == self.process || update.process == 0;
    if (update.incarnation < self.incarnation || (aboutThisProcess && update.state <= self.state))
        return;
    // Others suspect this VM, or know an earlier process under its name. Without an incarnation above theirs
    // it would stay evicted although it answers.
    self.incarnation = update.incarnation + 1;
    this->disseminate(self.vm);
}

void MembershipView::setState(Entry& entry, MemberState state, Instant now)
{
    const bool before = this->isCandidate(entry);
    entry.record.state = state;
    if (state == MemberState::Suspect) {
        if (!entry.suspectedAt)
            this->suspects.push_back(entry.record.vm);
        entry.suspectedAt = now;
    } else {
        entry.suspectedAt.reset();
    }
    if (before != this->isCandidate(entry))
        ++this->currentVersion;
}

void MembershipView::onUnreachable(const VmName& vm, Instant now)
{
    const auto match = this->entries.find(vm);
    if (match == this->entries.end() || match->second.record.state != MemberState::Live)
        return;
    // To each of two VMs a broken link between them looks like the death of the other. Only the time in which
    // a VM can refute the suspicion over its other links tells the two apart.
    this->setState(match->second, MemberState::Suspect, now);
    this->disseminate(vm);
}

void MembershipView::setLinkWorking(const VmName& vm, bool works)
{
    const auto match = this->entries.find(vm);
    if (match == this->entries.end() || match->second.linkBroken == !works)
        return;
    match->second.linkBroken = !works;
    ++this->currentVersion;
}

void MembershipView::tick(Instant now)
{
    // After a pause of this process all its suspicions look old, although no VM could refute them to it.
    const bool paused = this->lastTick && now - *this->lastTick > this->options.suspicionTime / 2;
    this->lastTick = now;
    std::vector<VmName> remaining;
    for (const auto& vm : std::exchange(this->suspects, {})) {
        const auto match = this->entries.find(vm);
        if (match == this->entries.end())
            continue;
        auto& suspectedAt = match->second.suspectedAt;
        if (!suspectedAt)
            continue;
        if (paused)
            suspectedAt = now;
        if (now - *suspectedAt < this->options.suspicionTime) {
            remaining.push_back(vm);
            continue;
        }
        this->setState(match->second, MemberState::Dead, now);
        this->disseminate(vm);
    }
    this->suspects = std::move(remaining);
}

void MembershipView::leave()
{
    this->options.self.state = MemberState::Leaving;
    ++this->options.self.incarnation;
    ++this->currentVersion;
    this->disseminate(this->options.self.vm);
}

std::vector<MemberRecord> MembershipView::selectProbeTargets()
{
    std::vector<MemberRecord> targets;
    const auto limit = std::min(this->options.fanout, this->entries.size());
    // Every member is probed once before any is probed again, which bounds the time until a death is
    // detected.
    while (targets.size() < limit) {
        if (this->probeOrder.empty()) {
            for (const auto& [vm, entry] : this->entries)
                this->probeOrder.push_back(vm);
            std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
        }
        const auto match = this->entries.find(this->probeOrder.back());
        this->probeOrder.pop_back();
        if (match != this->entries.end())
            targets.push_back(match->second.record);
    }
    return targets;
}

std::vector<MemberRecord> MembershipView::selectIndirectProbers(const VmName& target, std::size_t count)
{
    std::vector<const MemberRecord*> reachable;
    for (const auto& [vm, entry] : this->entries) {
        if (vm != target && entry.record.state != MemberState::Dead && !entry.linkBroken)
            reachable.push_back(&entry.record);
    }
    std::vector<const MemberRecord*> sampled;
    std::sample(reachable.begin(), reachable.end(), std::back_inserter(sampled), count, this->random);
    std::vector<MemberRecord> probers;
    probers.reserve(sampled.size());
    for (const auto* record : sampled)
        probers.push_back(*record);
    return probers;
}

std::vector<MemberRecord> MembershipView::nextGossipUpdates(const VmName& receiver)
{
    std::vector<MemberRecord> selected;
    const auto receiverEntry = this->entries.find(receiver);
    if (receiverEntry != this->entries.end() && receiverEntry->second.record.state != MemberState::Live)
        selected.push_back(receiverEntry->second.record);
    const auto limit = std::min(this->options.gossipUpdatesPerMessage, this->gossipUpdates.size());
    for (std::size_t i = 0; i < limit; ++i) {
        auto vm = std::move(this->gossipUpdates.front());
        this->gossipUpdates.pop_front();
        if (const auto record = this->find(vm); record && vm != receiver)
            selected.push_back(*record);
        const auto sends = this->remainingSends.find(vm);
        if (--sends->second > 0)
            this->gossipUpdates.push_back(std::move(vm));
        else
            this->remainingSends.erase(sends);
    }
    return selected;
}

std::optional<MemberRecord> MembershipView::find(const VmName& vm) const
{
    if (vm == this->options.self.vm)
        return this->options.self;
    const auto match = this->entries.find(vm);
    if (match == this->entries.end())
        return std::nullopt;
    return match->second.record;
}

std::vector<MemberRecord> MembershipView::members() const
{
    std::vector<MemberRecord> all { this->options.self };
    for (const auto& [vm, entry] : this->entries) {
        all.push_back(entry.record);
        if (entry.listedLeaving && entry.record.state == MemberState::Live)
            all.back().state = MemberState::Leaving;
    }
    return all;
}

std::vector<OwnerCandidate> MembershipView::candidates() const
{
    std::vector<OwnerCandidate> eligible;
    if (this->options.self.state != MemberState::Leaving)
        eligible.push_back({ .vm = this->options.self.vm, .zone = this->options.self.zone });
    for (const auto& [vm, entry] : this->entries) {
        if (this->isCandidate(entry))
            eligible.push_back({ .vm = vm, .zone = entry.record.zone });
    }
    return eligible;
}

bool MembershipView::linkBroken(const VmName& vm) const
{
    const auto match = this->entries.find(vm);
    return match != this->entries.end() && match->second.linkBroken;
}

} // namespace cyclamendrift
