#include <cyclamendrift/proxy/group_driver.h>

#include "control_slot.h"

#include <cyclamendrift/failover/failover_error.h>

#include <group.pb.h>

namespace cyclamendrift {

asio::awaitable<SlotOpinion> probeSlot(const GroupDriver::Options& options, SlotName slot)
{
    SlotOpinion opinion { .vm = options.vm };
    for (const auto& each : options.description.slots()) {
        if (each.name() != slot.string())
            continue;
        const auto target = std::make_shared<ControlSlot>(ControlSlot::Options { .executor = options.executor,
            .name = slot,
            .connection = slotConnection(options, each),
            .connector = options.connector,
            .control = options.slotControl,
            .callTimeout = options.callTimeout });
        const auto result = co_await target->status();
        target->close();
        opinion.reachable = result.reachable;
        if (result.sample)
            opinion.status = result.sample->status;
    }
    co_return opinion;
}

std::string encodeOpinion(const SlotOpinion& opinion)
{
    wire::SlotOpinion message;
    message.set_vm(opinion.vm.string());
    message.set_reachable(opinion.reachable);
    if (opinion.status) {
        auto& status = *message.mutable_status();
        status.set_term(static_cast<std::uint64_t>(opinion.status->progress.term));
        status.set_position(static_cast<std::uint64_t>(opinion.status->progress.position));
        status.set_fenced(static_cast<std::uint64_t>(opinion.status->fenced));
        status.set_primary(opinion.status->primary);
    }
    return message.SerializeAsString();
}

SlotOpinion decodeOpinion(std::string_view body)
{
    wire::SlotOpinion message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        throw FailoverError { "the opinion of a sibling cannot be read" };
    SlotOpinion opinion { .vm = VmName { message.vm() }, .reachable = message.reachable() };
    if (message.has_status()) {
        const auto& status = message.status();
        opinion.status
            = SlotStatus { .progress = { Term { status.term() }, LogPosition { status.position() } },
                  .fenced = Term { status.fenced() },
                  .primary = status.primary() };
    }
    return opinion;
}

} // namespace cyclamendrift
