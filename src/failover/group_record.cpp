#include <cyclamendrift/failover/group_record.h>

#include <cyclamendrift/failover/failover_error.h>

#include <group.pb.h>

namespace cyclamendrift {

std::string GroupRecord::encode() const
{
    wire::GroupRecord message;
    message.set_term(static_cast<std::uint64_t>(this->term));
    message.set_serving_term(static_cast<std::uint64_t>(this->servingTerm));
    message.set_primary(this->primary.string());
    for (const auto& slot : this->inSync)
        message.add_in_sync(slot.string());
    message.set_base_term(static_cast<std::uint64_t>(this->base.term));
    message.set_base_position(static_cast<std::uint64_t>(this->base.position));
    message.set_promoter(this->promoter.string());
    message.set_change_id(this->changeId);
    return message.SerializeAsString();
}

GroupRecord GroupRecord::decode(std::string_view value)
{
    wire::GroupRecord message;
    if (!message.ParseFromArray(value.data(), static_cast<int>(value.size())) || message.primary().empty())
        throw FailoverError { "the group record is malformed or has no primary" };
    GroupRecord record;
    record.term = Term { message.term() };
    record.servingTerm = Term { message.serving_term() };
    record.primary = SlotName { message.primary() };
    for (const auto& slot : message.in_sync())
        record.inSync.emplace_back(slot);
    record.base = { Term { message.base_term() }, LogPosition { message.base_position() } };
    record.promoter = VmName { message.promoter() };
    record.changeId = message.change_id();
    return record;
}

} // namespace cyclamendrift
