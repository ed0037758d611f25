#include "leadership_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration stepTime = std::chrono::milliseconds { 10 };
constexpr Duration tickInterval = std::chrono::milliseconds { 50 };
constexpr Duration readInterval = std::chrono::milliseconds { 300 };
constexpr Duration leaseDuration = std::chrono::milliseconds { 1800 };
constexpr Duration leaseMargin = std::chrono::milliseconds { 150 };
constexpr Duration promotionDuration = std::chrono::milliseconds { 300 };
constexpr Duration promotionAnswerTime = std::chrono::milliseconds { 10 };

} // namespace

LeadershipSimulation::LeadershipSimulation(Options options)
    : random(options.seed)
    , siblingsShareViews(options.siblingsShareViews)
{
    UpstreamDirectory directory;
    for (std::size_t index = 0; index <= options.replicas; ++index) {
        SimulatedUpstream member;
        member.entry.name = UpstreamName { index == 0 ? "primary" : "replica-" + std::to_string(index) };
        member.entry.service = ServiceName { "register" };
        member.entry.zone = ZoneName { member.entry.name.string() };
        member.entry.claimsPrimary = index == 0;
        member.primary = index == 0;
        directory.push_back(member.entry);
        this->members.emplace(member.entry.name, member);
    }
    for (std::size_t index = 0; index < options.vms; ++index) {
        const VmName name { "vm-" + std::to_string(index) };
        this->vms.push_back(
            { .name = name, .coordinator = LeaderCoordinator { { .vm = name, .seed = options.seed } } });
        this->vms.back().coordinator.setRank(index);
        this->vms.back().coordinator.onDirectory(directory, this->now);
    }
}

void LeadershipSimulation::advance(Duration duration)
{
    for (const auto end = this->now + duration; this->now < end;)
        this->step();
}

std::optional<Duration> LeadershipSimulation::advanceUntil(
    Duration maxTime, const std::function<bool()>& condition)
{
    const auto start = this->now;
    while (this->now < start + maxTime) {
        if (condition())
            return this->now - start;
        this->step();
    }
    return std::nullopt;
}

void LeadershipSimulation::step()
{
    this->now += stepTime;
    if (this->coordinatorLease && !this->storeDown && this->now >= this->coordinatorLease->expiresAt)
        this->coordinatorLease.reset();
    std::stable_sort(this->events.begin(), this->events.end(),
        [](const Event& left, const Event& right) { return left.at < right.at; });
    while (!this->events.empty() && this->events.front().at <= this->now) {
        const auto event = std::move(this->events.front());
        this->events.pop_front();
        event.run();
    }
    this->replicate();
    for (auto& vm : this->vms) {
        if (this->now >= vm.frozenUntil)
            this->runVm(vm);
    }
    this->checkInvariants();
}

void LeadershipSimulation::replicate()
{
    const auto* source = this->leader();
    if (source == nullptr)
        return this->replicateFromDemoted();
    this->member(source->entry.name.string()).received += 1;
    if (source->cutOff)
        return;
    for (auto& [name, member] : this->members) {
        if (member.primary || !member.running || member.pausedBelowTerm > source->term)
            continue;
        const bool hearsOfNewTerm = this->now >= member.canReceiveSince + member.lag;
        if (member.term < source->term && !hearsOfNewTerm)
            continue;
        member.term = source->term;
        member.received = source->received - 1;
    }
}

void LeadershipSimulation::replicateFromDemoted()
{
    const SimulatedUpstream* source = nullptr;
    for (const auto& [name, member] : this->members) {
        if (member.demoted && member.running && (source == nullptr || member.term > source->term))
            source = &member;
    }
    if (source == nullptr)
        return;
    for (auto& [name, member] : this->members) {
        if (member.running && member.term == source->term && member.pausedBelowTerm <= source->term)
            member.received = std::max(member.received, source->received);
    }
}

void LeadershipSimulation::endPause(SimulatedUpstream& member) const
{
    if (member.pausedBelowTerm != 0)
        member.canReceiveSince = this->now;
    member.pausedBelowTerm = 0;
}

void LeadershipSimulation::restart(const std::string& name)
{
    auto& member = this->member(name);
    member.pausedBelowTerm = 0;
    member.canReceiveSince = this->now;
}

void LeadershipSimulation::recover(const std::string& name)
{
    auto& member = this->member(name);
    member.running = true;
    member.primary = this->isPresentPrimary(member);
}

void LeadershipSimulation::becomePrimary(const std::string& name)
{
    auto& member = this->member(name);
    if (this->isPresentPrimary(member) || !member.running)
        return;
    for (const auto& [_, other] : this->members)
        this->newestTerm = std::max(this->newestTerm, other.term);
    member.primary = true;
    member.demoted = false;
    member.term = ++this->newestTerm;
    this->presentPrimary = member.entry.name;
    // A promotion ends the pause of all replicas of the group.
    for (auto& [_, other] : this->members) {
        this->endPause(other);
        other.canReceiveSince = this->now;
    }
}

bool LeadershipSimulation::isPresentPrimary(const SimulatedUpstream& member) const
{
    return member.primary && member.entry.name == this->presentPrimary;
}

void LeadershipSimulation::setEvacuatedZones(const std::set<ZoneName>& zones, Duration maxTime)
{
    ++this->evacuationChanges;
    for (auto& vm : this->vms) {
        this->schedule(
            [this, &vm, zones, change = this->evacuationChanges] {
                auto& known = this->knownEvacuations[vm.name];
                // A VM never goes back to an earlier listing.
                if (change < known.change)
                    return;
                known = { .change = change, .zones = zones };
                vm.coordinator.setEvacuatedZones(zones);
            },
            maxTime);
    }
}

const SimulatedUpstream* LeadershipSimulation::leader() const
{
    const SimulatedUpstream* best = nullptr;
    for (const auto& [name, member] : this->members) {
        if (member.running && member.primary && (best == nullptr || member.term > best->term))
            best = &member;
    }
    return best;
}

bool LeadershipSimulation::allFollowLeader() const
{
    const auto* leader = this->leader();
    if (leader == nullptr)
        return false;
    return std::all_of(this->vms.begin(), this->vms.end(), [&](const SimulatedVm& vm) {
        const auto view = vm.coordinator.view();
        return view.isValid(this->now) && view.primary == leader->entry.name;
    });
}

std::set<UpstreamName> LeadershipSimulation::primariesInUse() const
{
    std::set<UpstreamName> primaries;
    for (const auto& vm : this->vms) {
        const auto view = vm.coordinator.view();
        if (view.isValid(this->now))
            primaries.insert(view.primary);
    }
    return primaries;
}

std::size_t LeadershipSimulation::logged(const std::string& event) const
{
    return static_cast<std::size_t>(std::count_if(this->loggedEvents.begin(), this->loggedEvents.end(),
        [&event](const std::string& line) { return line.ends_with(' ' + event); }));
}

bool LeadershipSimulation::storeReachable(const SimulatedVm& vm) const
{
    return !this->storeDown && this->now >= vm.storeUnreachableUntil;
}

bool LeadershipSimulation::isReached(const SimulatedVm& vm, const SimulatedUpstream& member) const
{
    return member.running && !member.cutOff && !vm.unreachableUpstreams.contains(member.entry.name);
}

void LeadershipSimulation::schedule(std::function<void()> run, Duration maxTime, Duration minTime)
{
    const auto maxMs = std::chrono::duration_cast<std::chrono::milliseconds>(maxTime).count();
    const auto minMs = std::chrono::duration_cast<std::chrono::milliseconds>(minTime).count();
    const std::chrono::milliseconds delay { std::uniform_int_distribution<std::int64_t> { minMs, maxMs }(
        this->random) };
    this->events.push_back({ .at = this->now + delay, .run = std::move(run) });
}

void LeadershipSimulation::runVm(SimulatedVm& vm)
{
    if (this->now >= vm.nextRead)
        this->readStore(vm);
    for (const auto& [name, member] : this->members) {
        const bool reached = this->isReached(vm, member);
        const auto failing = reached || vm.idle ? std::nullopt : std::optional { this->now };
        const auto answered = reached && !vm.idle ? this->now : Instant::min();
        vm.coordinator.onTraffic(name, answered, failing, false);
    }
    if (this->now.time_since_epoch() % tickInterval >= stepTime)
        return;
    vm.coordinator.setVmLeaseExpiry(vm.vmLeaseExpiresAt);
    for (const auto& action : vm.coordinator.tick(this->now))
        this->performAction(vm, action);
}

void LeadershipSimulation::readStore(SimulatedVm& vm)
{
    vm.nextRead = this->now + readInterval;
    if (!this->storeReachable(vm)) {
        if (this->siblingsShareViews)
            this->askSibling(vm);
        return;
    }
    const bool expired
        = vm.vmLeaseExpiresAt != Instant::min() && this->now >= vm.vmLeaseExpiresAt + leaseMargin;
    if (expired)
        vm.coordinator.onVmLeaseExpired(this->now);
    vm.vmLeaseExpiresAt = this->now + leaseDuration - leaseMargin;
    if (this->coordinatorLease && this->coordinatorLease->holder == vm.name && !expired)
        this->coordinatorLease->expiresAt = this->now + leaseDuration;
    LeadershipSnapshot snapshot;
    snapshot.askedAt = this->now;
    if (this->record) {
        snapshot.record = this->record->record;
        snapshot.recordRevision = this->record->revision;
    }
    if (this->coordinatorLease)
        snapshot.coordinatorLease = CoordinatorLease { .holder = this->coordinatorLease->holder,
            .token = this->coordinatorLease->revision,
            .revision = this->coordinatorLease->revision };
    this->schedule([this, &vm, snapshot] {
        if (this->now >= vm.frozenUntil)
            vm.coordinator.onSnapshot(snapshot, this->now);
    });
}

void LeadershipSimulation::askSibling(SimulatedVm& vm)
{
    auto& sibling
        = this->vms.at(std::uniform_int_distribution<std::size_t> { 0, this->vms.size() - 1 }(this->random));
    this->schedule([this, &vm, &sibling, askedAt = this->now] {
        const auto viewConfirmedAt = sibling.coordinator.viewConfirmedAt(this->now);
        if (!viewConfirmedAt || this->now < sibling.frozenUntil)
            return;
        const auto age = this->now - *viewConfirmedAt;
        this->schedule(
            [this, &vm, revision = sibling.coordinator.recordRevision(), confirmedAt = askedAt - age] {
                if (this->now >= vm.frozenUntil)
                    vm.coordinator.onSiblingView(revision, confirmedAt);
            });
    });
}

UpstreamStatus LeadershipSimulation::statusOf(const SimulatedUpstream& member) const
{
    return { .isPrimary = member.primary,
        .term = Term { member.term },
        .received = { .term = Term { member.term }, .position = LogPosition { member.received } },
        .pausedBelowTerm = Term { member.pausedBelowTerm } };
}

void LeadershipSimulation::sendOrder(
    SimulatedVm& vm, const UpstreamName& upstream, const std::function<void(SimulatedUpstream&)>& order)
{
    const auto askedAt = this->now;
    this->schedule(
        [this, &vm, upstream, order, askedAt] {
            auto& member = this->members.at(upstream);
            const bool reached = this->isReached(vm, member);
            if (reached)
                order(member);
            const auto status = this->statusOf(member);
            const auto answer = [this, &vm, upstream, reached, status, askedAt] {
                if (this->now < vm.frozenUntil)
                    return;
                if (reached)
                    vm.coordinator.onStatus(upstream, status, askedAt, this->now);
                else
                    vm.coordinator.onStatusFailed(upstream, this->now);
            };
            this->schedule(answer, this->maxAnswerTime);
        },
        this->maxAnswerTime);
}

void LeadershipSimulation::performAction(SimulatedVm& vm, const LeadershipAction& action)
{
    if (const auto* ask = std::get_if<AskStatus>(&action))
        this->sendOrder(vm, ask->upstream, [](SimulatedUpstream&) {});
    if (const auto* pause = std::get_if<PauseReplica>(&action)) {
        const auto term = static_cast<std::uint64_t>(pause->term);
        this->sendOrder(vm, pause->upstream, [term](SimulatedUpstream& member) {
            if (!member.primary && term > member.term)
                member.pausedBelowTerm = term;
        });
    }
    if (const auto* resume = std::get_if<ResumeReplica>(&action))
        this->sendOrder(vm, resume->upstream, [this](SimulatedUpstream& member) { this->endPause(member); });
    if (const auto* demote = std::get_if<DemotePrimary>(&action)) {
        const auto term = static_cast<std::uint64_t>(demote->term);
        this->sendOrder(vm, demote->upstream, [term](SimulatedUpstream& member) {
            if (member.primary && member.term < term) {
                member.primary = false;
                member.demoted = true;
            }
        });
    }
    if (std::holds_alternative<AcquireCoordinatorLease>(action) && this->storeReachable(vm)) {
        this->schedule([this, &vm] {
            if (!this->coordinatorLease && !this->storeDown && this->now < vm.vmLeaseExpiresAt)
                this->coordinatorLease = StoredLease {
                    .holder = vm.name, .revision = ++this->revision, .expiresAt = this->now + leaseDuration
                };
        });
    }
    if (std::holds_alternative<ReleaseCoordinatorLease>(action) && this->storeReachable(vm)) {
        if (this->coordinatorLease && this->coordinatorLease->holder == vm.name)
            this->coordinatorLease.reset();
    }
    if (const auto* note = std::get_if<LogLeadershipEvent>(&action))
        this->loggedEvents.push_back(vm.name.string() + ' ' + note->event);
    if (const auto* change = std::get_if<WriteLeadershipRecord>(&action))
        this->writeRecord(vm, *change);
    if (const auto* change = std::get_if<PromoteUpstream>(&action))
        this->carryOutPromotion(vm, *change);
}

void LeadershipSimulation::writeRecord(SimulatedVm& vm, const WriteLeadershipRecord& change)
{
    if (!this->storeReachable(vm))
        return;
    this->schedule([this, &vm, change] {
        const auto current = this->record ? this->record->revision : 0;
        const bool guarded
            = this->coordinatorLease && this->coordinatorLease->revision == change.leaseRevision;
        if (this->storeDown || current != change.expectedRevision || !guarded)
            return;
        this->record = StoredRecord { .record = change.record, .revision = ++this->revision };
        const auto written = this->record->revision;
        const bool lost = this->writesPerLostAnswer != 0
            && std::uniform_int_distribution<std::size_t> { 1, this->writesPerLostAnswer }(this->random) == 1;
        if (lost)
            return;
        this->schedule([this, &vm, change, written] {
            if (this->now >= vm.frozenUntil)
                vm.coordinator.onRecordWritten(change.record, written, this->now);
        });
    });
}

void LeadershipSimulation::carryOutPromotion(SimulatedVm& vm, const PromoteUpstream& change)
{
    // A VM checks its lease once more when it sends; a promotion that was sent arrives later whatever happens
    // to the VM.
    if (this->now >= vm.vmLeaseExpiresAt)
        return;
    if (!this->record || this->record->record.chosen != change.upstream)
        this->violations.push_back("a promotion was sent for an upstream that the record does not name");
    if (this->knownEvacuations[vm.name].zones.contains(ZoneName { change.upstream.string() }))
        this->violations.push_back("a promotion was sent into an evacuated availability zone");
    const auto accept = [this, change, &vm, sentAt = this->now] {
        if (!this->tokens.empty() && change.token < this->tokens.back())
            this->violations.push_back("a promotion had a lower fencing token than an earlier one");
        this->tokens.push_back(change.token);
        auto& named = this->members.at(change.upstream);
        if (!named.running)
            return;
        this->events.push_back({ .at = this->now + promotionAnswerTime, .run = [this, &vm, change, sentAt] {
                                    if (this->now >= vm.frozenUntil)
                                        vm.coordinator.onPromotionAccepted(
                                            change.upstream, sentAt, this->now);
                                } });
        if (this->isPresentPrimary(named))
            return;
        this->events.push_back({ .at = this->now + promotionDuration,
            .run = [this, upstream = change.upstream] { this->becomePrimary(upstream.string()); } });
    };
    this->schedule(accept, this->maxPromotionTime, this->minPromotionTime);
}

void awaitLeader(LeadershipSimulation& simulation)
{
    REQUIRE(
        simulation.advanceUntil(std::chrono::seconds { 5 }, [&] { return simulation.allFollowLeader(); }));
    CHECK(simulation.violations.empty());
}

void LeadershipSimulation::checkInvariants()
{
    for (const auto& vm : this->vms) {
        const auto view = vm.coordinator.view();
        const bool old = view.isValid(this->now) && static_cast<std::uint64_t>(view.term) < this->newestTerm;
        if (old)
            this->violations.push_back(vm.name.string() + " may still act on term "
                + std::to_string(static_cast<std::uint64_t>(view.term)) + " while another upstream leads");
    }
}

} // namespace cyclamendrift
