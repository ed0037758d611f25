#include <cyclamendrift/membership/membership_view.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace cyclamendrift {

namespace {

/// A rumour is sent this many times the logarithm of the fleet's size.
constexpr std::size_t sendsFactor = 3;

bool overrides(const MemberRecord& news, const MemberRecord& known) noexcept
{
    if (news.incarnation != known.incarnation)
        return news.incarnation > known.incarnation;
    return news.state > known.state;
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
    this->spread(this->options.self.vm);
}

std::size_t MembershipView::sendsPerRumour() const noexcept
{
    return sendsFactor * static_cast<std::size_t>(std::bit_width(this->entries.size() + 1));
}

void MembershipView::spread(const VmName& vm)
{
    auto& sendsLeft = this->sendsLeft[vm];
    if (sendsLeft == 0)
        this->gossipUpdates.push_front(vm);
    sendsLeft = this->sendsPerRumour();
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
    for (const auto& line : listed) {
        if (line.vm != this->options.self.vm)
            this->takeListed(line);
    }
    // The list lags: a VM that it lacks may be new, so only those that left or died are forgotten.
    const auto forgotten = std::erase_if(this->entries, [](const auto& item) {
        return !item.second.listed && item.second.record.state >= MemberState::Leaving;
    });
    if (forgotten > 0)
        ++this->changes;
}

void MembershipView::takeListed(const ListedVm& line)
{
    auto [place, isNew] = this->entries.try_emplace(line.vm);
    auto& entry = place->second;
    entry.listed = true;
    if (isNew)
        entry.record = { .vm = line.vm, .zone = line.zone };
    if (isNew || entry.listedLeaving != line.leaving) {
        entry.listedLeaving = line.leaving;
        ++this->changes;
    }
    // A VM that was replaced keeps its name and gets another address; until it speaks for itself the list is
    // the better source.
    if (entry.record.incarnation != 0 || (entry.record.host == line.host && entry.record.port == line.port))
        return;
    entry.record.host = line.host;
    entry.record.port = line.port;
    ++this->changes;
}

void MembershipView::onContact(const MemberRecord& sender, std::span<const MemberRecord> claims, Instant now)
{
    this->absorb(sender, now);
    for (const auto& claim : claims)
        this->absorb(claim, now);
    this->setLinkWorking(sender.vm, true);
}

void MembershipView::absorb(const MemberRecord& record, Instant now)
{
    if (record.vm == this->options.self.vm) {
        this->refute(record);
        return;
    }
    auto [place, isNew] = this->entries.try_emplace(record.vm);
    auto& entry = place->second;
    if (!isNew && !overrides(record, entry.record))
        return;
    if (isNew && record.state == MemberState::Dead) {
        this->entries.erase(place);
        return;
    }
    const auto oldState = entry.record.state;
    if (isNew || entry.record.incarnation != record.incarnation)
        ++this->changes;
    entry.record = record;
    entry.record.state = oldState;
    this->setState(entry, record.state, now);
    this->spread(record.vm);
}

void MembershipView::refute(const MemberRecord& claim)
{
    auto& self = this->options.self;
    const bool aboutThisProcess = claim.process == self.process || claim.process == 0;
    if (claim.incarnation < self.incarnation || (aboutThisProcess && claim.state <= self.state))
        return;
    // Others think ill of this VM, or remember a process that had its name before. Without an incarnation
    // above theirs it would stay evicted however well it answers.
    self.incarnation = claim.incarnation + 1;
    this->spread(self.vm);
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
        ++this->changes;
}

void MembershipView::onUnreachable(const VmName& vm, Instant now)
{
    const auto match = this->entries.find(vm);
    if (match == this->entries.end() || match->second.record.state != MemberState::Live)
        return;
    // A broken link between two VMs looks like a death to both. Only the time in which the VM may refute,
    // over whatever links it still has, tells one from the other.
    this->setState(match->second, MemberState::Suspect, now);
    this->spread(vm);
}

void MembershipView::setLinkWorking(const VmName& vm, bool works)
{
    const auto match = this->entries.find(vm);
    if (match == this->entries.end() || match->second.linkBroken == !works)
        return;
    match->second.linkBroken = !works;
    ++this->changes;
}

void MembershipView::tick(Instant now)
{
    // A process that was paused finds all its suspicions old, though nobody had the chance to refute them to
    // it.
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
        this->spread(vm);
    }
    this->suspects = std::move(remaining);
}

void MembershipView::leave()
{
    this->options.self.state = MemberState::Leaving;
    ++this->options.self.incarnation;
    ++this->changes;
    this->spread(this->options.self.vm);
}

std::vector<MemberRecord> MembershipView::selectProbeTargets()
{
    std::vector<MemberRecord> picked;
    const auto most = std::min(this->options.fanout, this->entries.size());
    // Every member is probed once before any is probed again, so that no death stays unnoticed by bad luck.
    while (picked.size() < most) {
        if (this->probeOrder.empty()) {
            for (const auto& [vm, entry] : this->entries)
                this->probeOrder.push_back(vm);
            std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
        }
        const auto match = this->entries.find(this->probeOrder.back());
        this->probeOrder.pop_back();
        if (match != this->entries.end())
            picked.push_back(match->second.record);
    }
    return picked;
}

std::vector<MemberRecord> MembershipView::selectIndirectProbers(const VmName& target, std::size_t count)
{
    std::vector<const MemberRecord*> possible;
    for (const auto& [vm, entry] : this->entries) {
        if (vm != target && entry.record.state != MemberState::Dead && !entry.linkBroken)
            possible.push_back(&entry.record);
    }
    std::vector<const MemberRecord*> chosen;
    std::sample(possible.begin(), possible.end(), std::back_inserter(chosen), count, this->random);
    std::vector<MemberRecord> helpers;
    helpers.reserve(chosen.size());
    for (const auto* record : chosen)
        helpers.push_back(*record);
    return helpers;
}

std::vector<MemberRecord> MembershipView::nextGossipUpdates(const VmName& receiver)
{
    std::vector<MemberRecord> taken;
    const auto about = this->entries.find(receiver);
    if (about != this->entries.end() && about->second.record.state != MemberState::Live)
        taken.push_back(about->second.record);
    const auto most = std::min(this->options.gossipUpdatesPerMessage, this->gossipUpdates.size());
    for (std::size_t i = 0; i < most; ++i) {
        auto vm = std::move(this->gossipUpdates.front());
        this->gossipUpdates.pop_front();
        if (const auto record = this->find(vm); record && vm != receiver)
            taken.push_back(*record);
        const auto sends = this->sendsLeft.find(vm);
        if (--sends->second > 0)
            this->gossipUpdates.push_back(std::move(vm));
        else
            this->sendsLeft.erase(sends);
    }
    return taken;
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
    std::vector<OwnerCandidate> able;
    if (this->options.self.state != MemberState::Leaving)
        able.push_back({ .vm = this->options.self.vm, .zone = this->options.self.zone });
    for (const auto& [vm, entry] : this->entries) {
        if (this->isCandidate(entry))
            able.push_back({ .vm = vm, .zone = entry.record.zone });
    }
    return able;
}

bool MembershipView::linkBroken(const VmName& vm) const
{
    const auto match = this->entries.find(vm);
    return match != this->entries.end() && match->second.linkBroken;
}

} // namespace cyclamendrift
