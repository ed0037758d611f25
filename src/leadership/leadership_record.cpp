#include <cyclamendrift/leadership/leadership_record.h>

#include <leadership.pb.h>

namespace cyclamendrift {

std::string LeadershipRecord::encode() const
{
    wire::LeadershipRecord message;
    message.set_term(static_cast<std::uint64_t>(this->term));
    message.set_primary(this->primary.string());
    message.set_claimed_term(static_cast<std::uint64_t>(this->claimedTerm));
    message.set_author(this->author.string());
    message.set_change_id(this->changeId);
    message.set_chosen(this->chosen.string());
    return message.SerializeAsString();
}

LeadershipRecord LeadershipRecord::decode(std::string_view value)
{
    wire::LeadershipRecord message;
    if (!message.ParseFromString(std::string { value }))
        throw LeadershipError { "a stored leadership record cannot be parsed" };
    return { .term = Term { message.term() },
        .primary = UpstreamName { message.primary() },
        .claimedTerm = Term { message.claimed_term() },
        .author = VmName { message.author() },
        .changeId = message.change_id(),
        .chosen = UpstreamName { message.chosen() } };
}

} // namespace cyclamendrift
