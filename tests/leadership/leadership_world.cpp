#include "leadership_world.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration stepTime = std::chrono::milliseconds { 10 };
constexpr Duration tickTime = std::chrono::milliseconds { 50 };
constexpr Duration readInterval = std::chrono::milliseconds { 300 };
constexpr Duration leaseTime = std::chrono::milliseconds { 1800 };
constexpr Duration leaseMargin = std::chrono::milliseconds { 150 };
constexpr Duration promoteTime = std::chrono::milliseconds { 300 };

} // namespace

LeadershipWorld::LeadershipWorld(Options options)
    : random(options.seed)
    , siblingsTalk(options.siblingsTalk)
{
    UpstreamDirectory directory;
    for (std::size_t index = 0; index <= options.replicas; ++index) {
        GroupMember member;
        member.entry.name = UpstreamName { index == 0 ? "primary" : "replica-" + std::to_string(index) };
        member.entry.service = ServiceName { "register" };
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

void LeadershipWorld::pass(Duration duration)
{
    for (const auto end = this->now + duration; this->now < end;)
        this->step();
}

std::optional<Duration> LeadershipWorld::passUntil(Duration most, const std::function<bool()>& condition)
{
    const auto start = this->now;
    while (this->now < start + most) {
        if (condition())
            return this->now - start;
        this->step();
    }
    return std::nullopt;
}

void LeadershipWorld::step()
{
    this->now += stepTime;
    if (this->duty && !this->storeDown && this->now >= this->duty->until)
        this->duty.reset();
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
    this->check();
}

void LeadershipWorld::replicate()
{
    const auto* source = this->leader();
    if (source == nullptr)
        return;
    this->member(source->entry.name.string()).received += 1;
    for (auto& [name, member] : this->members) {
        if (member.primary || !member.running || member.held > source->term)
            continue;
        const bool hearsOfNewTerm = this->now >= member.receivesSince + member.lag;
        if (member.term < source->term && !hearsOfNewTerm)
            continue;
        member.term = source->term;
        member.received = source->received - 1;
    }
}

void LeadershipWorld::release(GroupMember& member) const
{
    if (member.held != 0)
        member.receivesSince = this->now;
    member.held = 0;
}

void LeadershipWorld::restart(const std::string& name)
{
    auto& member = this->member(name);
    member.held = 0;
    member.receivesSince = this->now;
}

void LeadershipWorld::takeLead(const std::string& name)
{
    auto& member = this->member(name);
    if (member.primary || !member.running)
        return;
    std::uint64_t newest = 0;
    for (const auto& [_, other] : this->members)
        newest = std::max(newest, other.term);
    member.primary = true;
    member.term = newest + 1;
    // A promotion ends the pause of all replicas of the group.
    for (auto& [_, other] : this->members) {
        this->release(other);
        other.receivesSince = this->now;
    }
}

const GroupMember* LeadershipWorld::leader() const
{
    const GroupMember* best = nullptr;
    for (const auto& [name, member] : this->members) {
        if (member.running && member.primary && (best == nullptr || member.term > best->term))
            best = &member;
    }
    return best;
}

bool LeadershipWorld::allFollowLeader() const
{
    const auto* leads = this->leader();
    if (leads == nullptr)
        return false;
    return std::all_of(this->vms.begin(), this->vms.end(), [&](const VmModel& vm) {
        const auto view = vm.coordinator.view();
        return view.isValid(this->now) && view.primary == leads->entry.name;
    });
}

std::set<UpstreamName> LeadershipWorld::primariesInUse() const
{
    std::set<UpstreamName> primaries;
    for (const auto& vm : this->vms) {
        const auto view = vm.coordinator.view();
        if (view.isValid(this->now))
            primaries.insert(view.primary);
    }
    return primaries;
}

std::size_t LeadershipWorld::noted(const std::string& event) const
{
    return static_cast<std::size_t>(std::count_if(this->notes.begin(), this->notes.end(),
        [&event](const std::string& line) { return line.ends_with(' ' + event); }));
}

bool LeadershipWorld::storeReachable(const VmModel& vm) const
{
    return !this->storeDown && this->now >= vm.storeAwayUntil;
}

void LeadershipWorld::later(std::function<void()> run, Duration most, Duration least)
{
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(most).count();
    const auto shortest = std::chrono::duration_cast<std::chrono::milliseconds>(least).count();
    const std::chrono::milliseconds delay { std::uniform_int_distribution<std::int64_t> { shortest, longest }(
        this->random) };
    this->events.push_back({ .at = this->now + delay, .run = std::move(run) });
}

void LeadershipWorld::runVm(VmModel& vm)
{
    if (this->now >= vm.nextRead)
        this->readStore(vm);
    for (const auto& [name, member] : this->members) {
        const bool reached = member.running && !vm.cutFrom.contains(name);
        const auto failing = reached || vm.idle ? std::nullopt : std::optional { this->now };
        const auto answered = reached && !vm.idle ? this->now : Instant::min();
        vm.coordinator.onTraffic(name, answered, failing, false);
    }
    if (this->now.time_since_epoch() % tickTime >= stepTime)
        return;
    vm.coordinator.setLeaseUntil(vm.leaseUntil);
    for (const auto& action : vm.coordinator.tick(this->now))
        this->perform(vm, action);
}

void LeadershipWorld::readStore(VmModel& vm)
{
    vm.nextRead = this->now + readInterval;
    if (!this->storeReachable(vm)) {
        if (this->siblingsTalk)
            this->askSibling(vm);
        return;
    }
    const bool lapsed = vm.leaseUntil != Instant::min() && this->now >= vm.leaseUntil + leaseMargin;
    if (lapsed)
        vm.coordinator.onLeaseLost(this->now);
    vm.leaseUntil = this->now + leaseTime - leaseMargin;
    if (this->duty && this->duty->holder == vm.name && !lapsed)
        this->duty->until = this->now + leaseTime;
    LeadershipSnapshot snapshot;
    snapshot.askedAt = this->now;
    if (this->record) {
        snapshot.record = this->record->record;
        snapshot.recordRevision = this->record->revision;
    }
    if (this->duty)
        snapshot.duty = LeadershipDuty {
            .holder = this->duty->holder, .token = this->duty->revision, .revision = this->duty->revision
        };
    this->later([this, &vm, snapshot] {
        if (this->now >= vm.frozenUntil)
            vm.coordinator.onSnapshot(snapshot, this->now);
    });
}

void LeadershipWorld::askSibling(VmModel& vm)
{
    auto& sibling
        = this->vms.at(std::uniform_int_distribution<std::size_t> { 0, this->vms.size() - 1 }(this->random));
    this->later([this, &vm, &sibling, askedAt = this->now] {
        const auto vouchedAt = sibling.coordinator.vouchedAt(this->now);
        if (!vouchedAt || this->now < sibling.frozenUntil)
            return;
        const auto age = this->now - *vouchedAt;
        this->later([this, &vm, revision = sibling.coordinator.recordRevision(), told = askedAt - age] {
            if (this->now >= vm.frozenUntil)
                vm.coordinator.onSiblingView(revision, told);
        });
    });
}

UpstreamStatus LeadershipWorld::statusOf(const GroupMember& member) const
{
    return { .isPrimary = member.primary,
        .term = Term { member.term },
        .received = { .term = Term { member.term }, .position = LogPosition { member.received } },
        .heldTerm = Term { member.held } };
}

void LeadershipWorld::tell(
    VmModel& vm, const UpstreamName& upstream, const std::function<void(GroupMember&)>& order)
{
    const auto askedAt = this->now;
    this->later(
        [this, &vm, upstream, order, askedAt] {
            auto& member = this->members.at(upstream);
            const bool reached = member.running && !vm.cutFrom.contains(upstream);
            if (reached)
                order(member);
            const auto status = this->statusOf(member);
            const auto answer = [this, &vm, upstream, reached, status, askedAt] {
                if (this->now < vm.frozenUntil)
                    return;
                if (reached)
                    vm.coordinator.onStatus(upstream, status, askedAt, this->now);
                else
                    vm.coordinator.onSilence(upstream, this->now);
            };
            this->later(answer, this->slowestAnswer);
        },
        this->slowestAnswer);
}

void LeadershipWorld::perform(VmModel& vm, const LeadershipAction& action)
{
    if (const auto* ask = std::get_if<AskStatus>(&action))
        this->tell(vm, ask->upstream, [](GroupMember&) {});
    if (const auto* pause = std::get_if<PauseReplica>(&action)) {
        const auto term = static_cast<std::uint64_t>(pause->term);
        this->tell(vm, pause->upstream, [term](GroupMember& member) {
            if (!member.primary && term > member.term)
                member.held = term;
        });
    }
    if (const auto* resume = std::get_if<ResumeReplica>(&action))
        this->tell(vm, resume->upstream, [this](GroupMember& member) { this->release(member); });
    if (const auto* demote = std::get_if<DemotePrimary>(&action)) {
        const auto term = static_cast<std::uint64_t>(demote->term);
        this->tell(vm, demote->upstream, [term](GroupMember& member) {
            if (member.primary && member.term < term)
                member.primary = false;
        });
    }
    if (std::holds_alternative<TakeDuty>(action) && this->storeReachable(vm)) {
        this->later([this, &vm] {
            if (!this->duty && !this->storeDown && this->now < vm.leaseUntil)
                this->duty = StoredDuty {
                    .holder = vm.name, .revision = ++this->revision, .until = this->now + leaseTime
                };
        });
    }
    if (std::holds_alternative<YieldDuty>(action) && this->storeReachable(vm)) {
        if (this->duty && this->duty->holder == vm.name)
            this->duty.reset();
    }
    if (const auto* note = std::get_if<LeadershipNote>(&action))
        this->notes.push_back(vm.name.string() + ' ' + note->event);
    if (const auto* change = std::get_if<WriteLeadership>(&action))
        this->write(vm, *change);
    if (const auto* change = std::get_if<PromoteUpstream>(&action))
        this->promote(vm, *change);
}

void LeadershipWorld::write(VmModel& vm, const WriteLeadership& change)
{
    if (!this->storeReachable(vm))
        return;
    this->later([this, &vm, change] {
        const auto current = this->record ? this->record->revision : 0;
        const bool guarded = this->duty && this->duty->revision == change.dutyRevision;
        if (this->storeDown || current != change.expectedRevision || !guarded)
            return;
        this->record = StoredRecord { .record = change.record, .revision = ++this->revision };
        const auto written = this->record->revision;
        const bool lost = this->loseAnswers != 0
            && std::uniform_int_distribution<std::size_t> { 1, this->loseAnswers }(this->random) == 1;
        if (lost)
            return;
        this->later([this, &vm, change, written] {
            if (this->now >= vm.frozenUntil)
                vm.coordinator.onWritten(change.record, written, this->now);
        });
    });
}

void LeadershipWorld::promote(VmModel& vm, const PromoteUpstream& change)
{
    // A VM checks its lease once more as it sends; what was sent arrives later whatever happens to it.
    if (this->now >= vm.leaseUntil)
        return;
    if (!this->record || this->record->record.chosen != change.upstream)
        this->violations.push_back("a promotion was sent that the record does not name");
    const auto carryOut = [this, change] {
        if (!this->tokens.empty() && change.token < this->tokens.back())
            this->violations.push_back("a promotion came with a lower token than one before");
        this->tokens.push_back(change.token);
        auto& named = this->members.at(change.upstream);
        if (named.primary || !named.running)
            return;
        this->events.push_back({ .at = this->now + promoteTime,
            .run = [this, upstream = change.upstream] { this->takeLead(upstream.string()); } });
    };
    this->later(carryOut, this->slowestPromotion, this->fastestPromotion);
}

void LeadershipWorld::check()
{
    const auto* leads = this->leader();
    if (leads == nullptr)
        return;
    for (const auto& vm : this->vms) {
        const auto view = vm.coordinator.view();
        const bool old = view.isValid(this->now) && static_cast<std::uint64_t>(view.term) < leads->term;
        if (old)
            this->violations.push_back(vm.name.string() + " may still act on term "
                + std::to_string(static_cast<std::uint64_t>(view.term)) + " while another upstream leads");
    }
}

} // namespace cyclamendrift
