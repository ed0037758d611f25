#include <cyclamendrift/configuration/configuration_writer.h>

#include <utility>

namespace cyclamendrift {

namespace {

ChangeFailed::Kind toFailureKind(EditError::Kind kind) noexcept
{
    return kind == EditError::Kind::Conflict ? ChangeFailed::Kind::Conflict : ChangeFailed::Kind::Invalid;
}

void recordChange(wire::ConfigurationDocument& document, const std::string& changeId)
{
    auto& changes = *document.mutable_recent_changes();
    auto* change = changes.Add();
    change->set_change_id(changeId);
    change->set_revision(document.revision());
    if (changes.size() > maxRecentChanges)
        changes.DeleteSubrange(0, changes.size() - maxRecentChanges);
}

} // namespace

ConfigurationWriter::ConfigurationWriter(Options options)
    : options(std::move(options))
{
}

WriterAction ConfigurationWriter::start() const { return ReadDocument {}; }

std::optional<ChangeDone> ConfigurationWriter::findApplied(const DocumentPointer& document) const
{
    if (this->options.changeId.empty())
        return std::nullopt;
    for (const auto& change : document->recent_changes()) {
        if (change.change_id() == this->options.changeId)
            return ChangeDone { .sequence = document->sequence(),
                .revision = change.revision(),
                .alreadyApplied = true,
                .document = document };
    }
    return std::nullopt;
}

WriterAction ConfigurationWriter::onRead(const std::optional<StoredDocument>& stored)
{
    this->swapInFlight = false;
    // After a lost answer the operator saw no result although the swap may have taken effect. The change id
    // in the document shows whether it did; without this check the change would be applied twice.
    if (stored) {
        if (auto done = this->findApplied(stored->document))
            return *std::move(done);
    }
    try {
        return this->prepareSwap(stored);
    } catch (const EditError& error) {
        // A swap still in progress can no longer take effect once the store's revision has changed, but this
        // process cannot tell that from a store whose revision has not changed yet.
        const auto outcome = this->swapUnknown ? Outcome::Unknown : Outcome::NotRun;
        return ChangeFailed {
            .kind = toFailureKind(error.kind()), .outcome = outcome, .message = error.what()
        };
    }
}

WriterAction ConfigurationWriter::prepareSwap(const std::optional<StoredDocument>& stored)
{
    auto next = stored ? std::make_shared<wire::ConfigurationDocument>(*stored->document)
                       : std::make_shared<wire::ConfigurationDocument>();
    if (!applyEdit(this->options.edit, *next)) {
        return ChangeDone { .sequence = next->sequence(),
            .revision = next->revision(),
            .alreadyApplied = true,
            .document = stored ? stored->document : next };
    }
    next->set_sequence(next->sequence() + 1);
    next->set_author(this->options.author);
    next->set_change_id(this->options.changeId);
    if (!std::holds_alternative<MoveShards>(this->options.edit)) {
        next->set_revision(next->revision() + 1);
        recordChange(*next, this->options.changeId);
    }
    if (this->options.finish)
        this->options.finish(*next);
    this->written = std::move(next);
    this->swapInFlight = true;
    return SwapDocument { .expectedStoreRevision = stored ? stored->storeRevision : 0,
        .document = this->written };
}

WriterAction ConfigurationWriter::onSwapped() const
{
    return ChangeDone { .sequence = this->written->sequence(),
        .revision = this->written->revision(),
        .document = this->written };
}

WriterAction ConfigurationWriter::onStoreFailure(bool sent, bool mayRetry)
{
    this->swapUnknown = this->swapUnknown || (this->swapInFlight && sent);
    this->swapInFlight = false;
    if (mayRetry)
        return ReadDocument {};
    return ChangeFailed { .kind = ChangeFailed::Kind::StoreUnavailable,
        .outcome = this->swapUnknown ? Outcome::Unknown : Outcome::NotRun,
        .message = "the configuration store was unreachable or did not answer" };
}

} // namespace cyclamendrift
