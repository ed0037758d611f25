#include <cyclamendrift/membership/fleet_join.h>

#include <cyclamendrift/core/random_duration.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamendrift {

namespace {

// VMs of the roster that are asked before the roster is read again. An unreachable VM costs the whole time
// limit of a request.
constexpr std::size_t readersPerTurn = 3;
constexpr std::size_t standbysPerTurn = 2;

Duration drawExtensionDelay(const FleetJoin::Options& options)
{
    const auto part = options.settings.maxReaderDelay / 2;
    // Independent of the pauses, which are drawn from the same seed.
    RandomSource random { ~options.seed };
    return options.settings.maxReaderDelay + firstStartDelay(options.cores, part, part, random);
}

} // namespace

Duration firstStartDelay(double cores, Duration weakVmDelay, Duration spread, RandomSource& random)
{
    const auto weakness = 1 - std::min(cores, 1.0);
    return std::chrono::duration_cast<Duration>(weakVmDelay * weakness) + randomDuration(spread, random);
}

FleetJoin::FleetJoin(Options given)
    : options(std::move(given))
    , random(this->options.seed)
    , takeoverDelay(this->options.settings.takeoverDelay
          + randomDuration(this->options.settings.takeoverDelay, this->random))
    , extensionDelay(drawExtensionDelay(this->options))
{
}

void FleetJoin::pauseFrom(Instant now)
{
    const auto& settings = this->options.settings;
    this->pause = std::clamp(this->pause * 2, settings.minPause, settings.maxPause);
    this->waitUntil = now + this->pause / 2 + randomDuration(this->pause / 2, this->random);
}

FleetJoin::Step FleetJoin::next(Instant now)
{
    if (this->joined)
        return *this->joined;
    if (now < this->waitUntil)
        return Wait { this->waitUntil };
    if (!this->rosterKnown)
        return ReadRoster { .mayLag = !this->justWritten };
    if (this->writeNext)
        return WriteRoster { .expectedRevision = this->roster.revision,
            .readersKept = this->mayTakeOver(now) ? 0 : this->roster.readers };
    if (this->toAsk.empty()) {
        this->endTurn(now);
        return Wait { this->waitUntil };
    }
    return AskReader { this->toAsk.back() };
}

void FleetJoin::endTurn(Instant now)
{
    if (!this->readerHeard)
        this->silentSince = std::min(this->silentSince, this->turnStartedAt);
    else
        this->silentSince = Instant::max();
    this->unservedSince = std::min(this->unservedSince, this->turnStartedAt);
    // The roster may have changed since; it is read before a further turn.
    this->rosterKnown = false;
    this->pauseFrom(now);
}

void FleetJoin::resetTurns()
{
    this->silentSince = Instant::max();
    this->unservedSince = Instant::max();
}

bool FleetJoin::isReader(const VmName& vm) const
{
    const auto& vms = this->roster.vms;
    const auto end = vms.begin() + static_cast<std::ptrdiff_t>(std::min(this->roster.readers, vms.size()));
    return std::find(vms.begin(), end, vm) != end;
}

bool FleetJoin::mayTakeOver(Instant now) const
{
    return this->silentSince != Instant::max() && now >= this->silentSince + this->takeoverDelay;
}

bool FleetJoin::mayExtend(Instant now) const
{
    return this->unservedSince != Instant::max() && now >= this->unservedSince + this->extensionDelay;
}

void FleetJoin::rosterRead(ReaderRoster read, Instant now)
{
    const auto& settings = this->options.settings;
    // A read that lags may show an earlier roster, or none yet.
    const bool outdated = !this->justWritten && read.revision < this->roster.revision;
    const bool unchanged = outdated || read.revision == this->roster.revision;
    if (!outdated)
        this->roster = std::move(read);
    this->rosterKnown = true;
    this->justWritten = false;
    if (this->roster.vms.empty()) {
        if (this->createAt == Instant::max()) {
            this->createAt = now
                + firstStartDelay(
                    this->options.cores, settings.weakVmDelay, settings.firstStartSpread, this->random);
            // The roster is read once more before it is written.
            this->rosterKnown = false;
            this->waitUntil = this->createAt;
            return;
        }
        this->writeNext = now >= this->createAt;
        return;
    }
    if (this->isReader(this->options.self)) {
        this->joined = Joined { .asReader = true };
        return;
    }
    if (!unchanged)
        this->resetTurns();
    if (this->mayTakeOver(now) || this->mayExtend(now)) {
        this->writeNext = true;
        return;
    }
    this->turnStartedAt = now;
    this->readerHeard = false;
    this->planAsking();
}

void FleetJoin::planAsking()
{
    const auto begin = this->roster.vms.begin();
    const auto count = std::min(this->roster.readers, this->roster.vms.size());
    const auto standbysBegin = begin + static_cast<std::ptrdiff_t>(count);
    this->toAsk.clear();
    std::sample(standbysBegin, this->roster.vms.end(), std::back_inserter(this->toAsk), standbysPerTurn,
        this->random);
    std::sample(begin, standbysBegin, std::back_inserter(this->toAsk), readersPerTurn, this->random);
    std::erase(this->toAsk, this->options.self);
}

void FleetJoin::rosterWritten(Instant now)
{
    this->writeNext = false;
    this->rosterKnown = false;
    this->justWritten = true;
    this->resetTurns();
    this->waitUntil = now;
}

void FleetJoin::attemptFailed(Instant now)
{
    this->rosterKnown = false;
    this->writeNext = false;
    this->pauseFrom(now);
}

void FleetJoin::readerAnswered(const VmName& reader, Answer answer)
{
    std::erase(this->toAsk, reader);
    if (answer == Answer::Lists) {
        this->joined = Joined {};
        return;
    }
    // Another VM of the roster may have the lists, even if it is a standby: it reads the store while the
    // reader cannot.
    if (answer == Answer::NotYet && this->isReader(reader))
        this->readerHeard = true;
}

} // namespace cyclamendrift
