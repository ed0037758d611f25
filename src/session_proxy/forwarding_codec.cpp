#include "forwarding_codec.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/schema/duration_codec.h>
#include <cyclamendrift/schema/progress_codec.h>

#include <homes.pb.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cyclamendrift::forwarding_codec {

namespace {

[[noreturn]] void refuse() { throw notRun(RefusalReason::BadRequest, "a sibling's message cannot be read"); }

wire::HandedKind kindOf(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Read:
        return wire::HANDED_KIND_READ;
    case StatementKind::Write:
        return wire::HANDED_KIND_WRITE;
    case StatementKind::Commit:
        return wire::HANDED_KIND_COMMIT;
    }
    return wire::HANDED_KIND_READ;
}

StatementKind kindFrom(wire::HandedKind kind)
{
    if (kind == wire::HANDED_KIND_COMMIT)
        return StatementKind::Commit;
    return kind == wire::HANDED_KIND_WRITE ? StatementKind::Write : StatementKind::Read;
}

void writeRoute(const Route& route, wire::HandedWork& message)
{
    message.set_service(route.service.string());
    message.set_max_staleness_us(wireMicroseconds(maxStalenessOf(route.freshness)));
    message.set_statement_timeout_us(wireMicroseconds(route.statementTimeout));
    message.set_target_latency_us(wireMicroseconds(route.targetLatency));
    message.set_priority(route.priority);
    if (std::holds_alternative<BoundedStalenessRoute>(route.freshness))
        message.set_freshness(wire::HANDED_FRESHNESS_BOUNDED);
    else if (std::holds_alternative<ReadOwnWritesRoute>(route.freshness))
        message.set_freshness(wire::HANDED_FRESHNESS_OWN_WRITES);
}

Route routeFrom(const wire::HandedWork& message)
{
    Route route;
    route.service = ServiceName { message.service() };
    const auto staleness = durationFrom(message.max_staleness_us());
    if (message.freshness() == wire::HANDED_FRESHNESS_BOUNDED)
        route.freshness = BoundedStalenessRoute { staleness };
    else if (message.freshness() == wire::HANDED_FRESHNESS_OWN_WRITES)
        route.freshness = ReadOwnWritesRoute { staleness };
    route.statementTimeout = durationFrom(message.statement_timeout_us());
    route.targetLatency = durationFrom(message.target_latency_us());
    route.priority = message.priority();
    return route;
}

void writePrepared(const ForwardedStatement& work, wire::HandedWork& message)
{
    const auto* execute = std::get_if<ExecutePrepared>(&work.query.statement);
    if (execute == nullptr)
        return;
    const auto& shape = work.state.prepared.at(execute->name);
    auto& prepared = *message.mutable_prepared();
    prepared.set_name(execute->name);
    prepared.set_arguments(execute->arguments);
    prepared.set_writes(shape.writes);
    prepared.set_shape(shape.text);
}

CallerStatement statementFrom(const wire::HandedWork& message)
{
    if (message.has_prepared())
        return ExecutePrepared { .name = message.prepared().name(),
            .arguments = message.prepared().arguments() };
    switch (kindFrom(message.kind())) {
    case StatementKind::Read:
        return ReadItem {};
    case StatementKind::Write:
        return WriteItem {};
    case StatementKind::Commit:
        return CommitTransaction {};
    }
    return MalformedStatement {};
}

// Longer waits are all the same to a VM that chooses an owner.
constexpr std::uint32_t maxWaitMs = 10'000;
// Above the number of upstreams of any service. A message with more zones is not from an owner.
constexpr int maxPlacementZones = 64;

wire::HandedPlacement wirePlacement(const PlacementHint& placement)
{
    wire::HandedPlacement message;
    for (const auto zone : placement.zonesInService) {
        message.add_zones(static_cast<std::uint32_t>(zone));
        if (zone == placement.primaryZone)
            message.set_primary(static_cast<std::uint32_t>(message.zones_size()));
    }
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(placement.expectedWait).count();
    message.set_wait_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(waitMs, 0, maxWaitMs)));
    return message;
}

PlacementHint placementFrom(const wire::HandedPlacement& message)
{
    PlacementHint placement { .expectedWait
        = std::chrono::milliseconds { std::min(message.wait_ms(), maxWaitMs) } };
    if (message.zones_size() > maxPlacementZones)
        return placement;
    for (const auto zone : message.zones())
        placement.zonesInService.push_back(ZoneKey { zone });
    if (message.primary() > 0 && message.primary() <= placement.zonesInService.size())
        placement.primaryZone = placement.zonesInService[message.primary() - 1];
    return placement;
}

} // namespace

std::string encode(const ForwardedStatement& work)
{
    wire::HandedWork message;
    message.set_guest(static_cast<std::uint64_t>(work.remoteSession));
    message.set_continues(work.continuesTransaction);
    message.set_id(work.query.id);
    message.set_text(work.query.text);
    message.set_kind(kindOf(work.kind));
    writePrepared(work, message);
    message.set_team(work.team.string());
    writeRoute(work.route, message);
    for (const auto& [name, value] : work.state.values) {
        auto& entry = *message.add_values();
        entry.set_name(name);
        entry.set_value(value);
    }
    message.set_in_transaction(work.inTransaction);
    message.set_read_only(work.readOnly);
    if (work.requiredProgress) {
        *message.mutable_floor() = wireProgress(*work.requiredProgress);
        message.set_floor_age_us(wireMicroseconds(work.requiredProgressAge));
    }
    message.set_waited_us(wireMicroseconds(work.waited));
    return message.SerializeAsString();
}

ForwardedStatement decodeWork(const std::string& body)
{
    wire::HandedWork message;
    if (!message.ParseFromString(body) || message.service().empty() || message.team().empty())
        refuse();
    ForwardedStatement work;
    work.remoteSession = CallerId { message.guest() };
    work.continuesTransaction = message.continues();
    work.query = { .id = message.id(), .text = message.text(), .statement = statementFrom(message) };
    work.kind = kindFrom(message.kind());
    work.team = TeamName { message.team() };
    work.route = routeFrom(message);
    for (const auto& value : message.values())
        work.state.values[value.name()] = value.value();
    if (message.has_prepared())
        work.state.prepared[message.prepared().name()]
            = { .writes = message.prepared().writes(), .text = message.prepared().shape() };
    work.inTransaction = message.in_transaction();
    work.readOnly = message.read_only();
    if (message.has_floor())
        work.requiredProgress = progressFrom(message.floor());
    work.requiredProgressAge = durationFrom(message.floor_age_us());
    work.waited = durationFrom(message.waited_us());
    return work;
}

std::string encode(const Reply& reply)
{
    wire::HandedAnswer message;
    for (const auto& row : reply.rows)
        message.add_rows(row);
    message.set_proof(reply.proof);
    if (reply.failure) {
        message.set_failed(true);
        message.set_error(static_cast<std::uint32_t>(reply.failure->error));
        message.set_text(reply.failure->text);
    }
    message.set_phase(static_cast<std::uint32_t>(reply.phase));
    if (reply.progress)
        *message.mutable_progress() = wireProgress(*reply.progress);
    if (reply.placement)
        *message.mutable_placement() = wirePlacement(*reply.placement);
    return message.SerializeAsString();
}

Reply decodeReply(const std::string& body)
{
    wire::HandedAnswer message;
    if (!message.ParseFromString(body))
        refuse();
    Reply reply;
    reply.rows.assign(message.rows().begin(), message.rows().end());
    reply.proof = message.proof();
    if (message.failed()) {
        const bool known = message.error() <= static_cast<std::uint32_t>(StatementError::InDoubt);
        // An error code of a later version may mean that the statement ran.
        reply.failure = StatementFailure { .error
            = known ? static_cast<StatementError>(message.error()) : StatementError::InDoubt,
            .text = message.text() };
    }
    if (message.has_progress())
        reply.progress = progressFrom(message.progress());
    if (message.has_placement())
        reply.placement = placementFrom(message.placement());
    return reply;
}

std::string encodeRelease(CallerId remoteSession)
{
    wire::GuestLeft message;
    message.set_guest(static_cast<std::uint64_t>(remoteSession));
    return message.SerializeAsString();
}

CallerId decodeRelease(const std::string& body)
{
    wire::GuestLeft message;
    if (!message.ParseFromString(body))
        refuse();
    return CallerId { message.guest() };
}

} // namespace cyclamendrift::forwarding_codec
