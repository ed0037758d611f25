#pragma once

#include <cyclamendrift/configuration/configuration_edit.h>
#include <cyclamendrift/configuration/configuration_state.h>
#include <cyclamendrift/core/outcome.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace cyclamendrift {

/// Maximum number of recent change ids that a document keeps to recognize repeated changes.
inline constexpr int maxRecentChanges = 256;

/// Requests a read of the document from the store.
struct ReadDocument { };
/// Requests a compare-and-swap of the document, provided that the store still has it at this revision.
struct SwapDocument {
    std::uint64_t expectedStoreRevision = 0;
    DocumentPointer document;
};
/// Result of a change that is in the store.
struct ChangeDone {
    /// Sequence from which the change is in force.
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    /// True if an earlier attempt had already applied the change, or nothing had to change.
    bool alreadyApplied = false;
    /// The document that was last read or written.
    DocumentPointer document;
};
/// Result of a change that was abandoned.
struct ChangeFailed {
    enum class Kind : std::uint8_t { Invalid, Conflict, StoreUnavailable };
    Kind kind = Kind::StoreUnavailable;
    /// NotRun, or Unknown if a swap was sent and its answer was lost.
    Outcome outcome = Outcome::NotRun;
    std::string message;
};
/// The caller's next step: a store request to make, or the final result.
using WriterAction = std::variant<ReadDocument, SwapDocument, ChangeDone, ChangeFailed>;

/// A document with its revision in the store.
struct StoredDocument {
    std::uint64_t storeRevision = 0;
    DocumentPointer document;
};

/// Writes one change to the store by compare-and-swap. A state machine without clock or I/O: its functions
/// receive the store's answers and return the next action, until ChangeDone or ChangeFailed.
///
///     ConfigurationWriter writer { { .changeId = "c1", .author = "vm1", .edit = RevokeKey { "k1" } } };
///     auto action = writer.start(); // ReadDocument
///     action = writer.onRead(stored); // SwapDocument
///     action = writer.onSwapped(8); // ChangeDone
class ConfigurationWriter {
public:
    struct Options {
        /// Id by which a repeated change is recognized; empty for an idempotent change.
        std::string changeId;
        std::string author;
        ConfigurationEdit edit;
        /// Called on each new document before it is written; may assign owners to limit shards.
        std::function<void(wire::ConfigurationDocument&)> finish;
    };

    explicit ConfigurationWriter(Options options);

    /// Returns the first action.
    [[nodiscard]] WriterAction start() const;

    /// Handles the document read from the store; `stored` is empty if the store has none.
    [[nodiscard]] WriterAction onRead(const std::optional<StoredDocument>& stored);

    /// Handles a successful swap.
    [[nodiscard]] WriterAction onSwapped() const;

    /// Handles a store call that got no answer, or that was refused before it had an effect (`sent` is
    /// false). Returns ChangeFailed if `mayRetry` is false.
    [[nodiscard]] WriterAction onStoreFailure(bool sent, bool mayRetry);

private:
    [[nodiscard]] std::optional<ChangeDone> findApplied(const DocumentPointer& document) const;
    [[nodiscard]] WriterAction prepareSwap(const std::optional<StoredDocument>& stored);

    Options options;
    DocumentPointer written;
    bool swapInFlight = false;
    /// True once the answer to any swap was lost.
    bool swapUnknown = false;
};

} // namespace cyclamendrift
