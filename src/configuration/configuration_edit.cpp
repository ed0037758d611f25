#include <cyclamendrift/configuration/configuration_edit.h>

#include <cyclamendrift/schema/schema_difference.h>
#include <cyclamendrift/schema/schema_validation.h>

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

using google::protobuf::util::MessageDifferencer;

std::string describeConflict(const ReplaceSchema& edit, const wire::ConfigurationDocument& document)
{
    std::string text = "revision " + std::to_string(document.revision()) + " is in force, not "
        + std::to_string(edit.expectedRevision) + "; differences from it to the submitted schema:";
    for (const auto& line : schemaDifference(document.schema(), edit.schema))
        text.append("\n").append(line);
    return text;
}

void requireValid(const api::Schema& schema)
{
    const auto problems = validateSchema(schema);
    if (!problems.empty())
        throw EditError { EditError::Kind::Invalid, joinProblems(problems) };
}

/// Visitor with one overload for each kind of change.
class EditVisitor {
public:
    explicit EditVisitor(wire::ConfigurationDocument& document)
        : document(document)
    {
    }

    bool operator()(const ReplaceSchema& edit) const
    {
        if (edit.expectedRevision != this->document.revision())
            throw EditError { EditError::Kind::Conflict, describeConflict(edit, this->document) };
        return this->replaceSchema(edit.schema);
    }

    bool operator()(const GrantKey& edit) const
    {
        auto schema = this->document.schema();
        for (const auto& key : schema.keys()) {
            if (key.id() == edit.key.id() && MessageDifferencer::Equals(key, edit.key))
                return false;
        }
        *schema.add_keys() = edit.key;
        return this->replaceSchema(schema);
    }

    bool operator()(const RevokeKey& edit) const
    {
        auto& keys = *this->document.mutable_schema()->mutable_keys();
        const auto match = std::find_if(
            keys.begin(), keys.end(), [&edit](const api::Key& key) { return key.id() == edit.keyId; });
        if (match == keys.end())
            return false;
        keys.erase(match);
        return true;
    }

    bool operator()(const ChangeLimits& edit) const
    {
        auto schema = this->document.schema();
        auto& teams = *schema.mutable_teams();
        const auto match = std::find_if(
            teams.begin(), teams.end(), [&edit](const api::Team& team) { return team.name() == edit.team; });
        if (match == teams.end())
            throw EditError { EditError::Kind::Invalid, "there is no team \"" + edit.team + '"' };
        match->set_rate_per_second(edit.ratePerSecond);
        match->set_burst(edit.burst);
        return this->replaceSchema(schema);
    }

    bool operator()(const MoveShards& edit) const
    {
        bool changed = false;
        for (const auto& shard : edit.shards)
            changed = this->moveShard(shard) || changed;
        return changed;
    }

private:
    bool replaceSchema(const api::Schema& schema) const
    {
        requireValid(schema);
        if (MessageDifferencer::Equals(schema, this->document.schema()))
            return false;
        *this->document.mutable_schema() = schema;
        return true;
    }

    /// Moves a shard only if its epoch is still the one that the requester knew. Otherwise two requesters
    /// that disagree would undo each other's moves, and each move restarts the wait before the new owner may
    /// grant tokens.
    bool moveShard(const wire::LimitShard& shard) const
    {
        for (auto& current : *this->document.mutable_limit_shards()) {
            if (current.team() != shard.team() || current.index() != shard.index())
                continue;
            if (current.epoch() != shard.epoch())
                return false;
            current = shard;
            current.set_epoch(this->document.sequence() + 1);
            return true;
        }
        *this->document.add_limit_shards() = shard;
        this->document.mutable_limit_shards()->rbegin()->set_epoch(this->document.sequence() + 1);
        return true;
    }

    wire::ConfigurationDocument& document;
};

} // namespace

bool applyEdit(const ConfigurationEdit& edit, wire::ConfigurationDocument& document)
{
    return std::visit(EditVisitor { document }, edit);
}

} // namespace cyclamendrift
