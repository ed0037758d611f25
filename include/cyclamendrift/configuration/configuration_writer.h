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

/// How many changes a document remembers by their ids.
inline constexpr int maxRecentChanges = 256;

/// Read the document from the store.
struct ReadDocument { };
/// Swap the document if the store still has it at this revision.
struct SwapDocument {
    std::uint64_t expectedStoreRevision = 0;
    DocumentPointer document;
};
/// The change is in the store.
struct ChangeDone {
    /// Sequence from which on the change is in force.
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
    /// True when an earlier try had already made it, or nothing had to change.
    bool alreadyApplied = false;
    /// The newest document read or written.
    DocumentPointer document;
};
/// The change was given up.
struct ChangeFailed {
    enum class Kind : std::uint8_t { Invalid, Conflict, StoreUnavailable };
    Kind kind = Kind::StoreUnavailable;
    /// NotRun, or Unknown when a swap was sent and its answer lost.
    Outcome outcome = Outcome::NotRun;
    std::string message;
};
/// What the writer wants done next.
using WriterAction = std::variant<ReadDocument, SwapDocument, ChangeDone, ChangeFailed>;

/// A document as the store has it.
struct StoredDocument {
    std::uint64_t storeRevision = 0;
    DocumentPointer document;
};

/// Takes one change through the store by compare-and-swap. Knows nothing of time or sockets: it is told what
/// the store answered and says what to do next, until ChangeDone or ChangeFailed.
///
///     ConfigurationWriter writer { { .changeId = "c1", .author = "vm1", .edit = RevokeKey { "k1" } } };
///     auto action = writer.start(); // ReadDocument
///     action = writer.onRead(stored); // SwapDocument
///     action = writer.onSwapped(8); // ChangeDone
class ConfigurationWriter {
public:
    struct Options {
        /// Empty for a change that needs no recognition because making it twice changes nothing.
        std::string changeId;
        std::string author;
        ConfigurationEdit edit;
        /// Called on every new document before it is written; may assign owners to shards.
        std::function<void(wire::ConfigurationDocument&)> finish;
    };

    explicit ConfigurationWriter(Options options);

    /// The first thing to do.
    [[nodiscard]] WriterAction start() const;

    /// The store's document; empty when it has none.
    [[nodiscard]] WriterAction onRead(const std::optional<StoredDocument>& stored);

    /// The swap took place.
    [[nodiscard]] WriterAction onSwapped() const;

    /// A call got no answer, or was refused before it had an effect (`sent` false). Gives up when `mayRetry`
    /// is false.
    [[nodiscard]] WriterAction onStoreFailure(bool sent, bool mayRetry);

private:
    [[nodiscard]] std::optional<ChangeDone> findApplied(const DocumentPointer& document) const;
    [[nodiscard]] WriterAction prepareSwap(const std::optional<StoredDocument>& stored);

    Options options;
    DocumentPointer written;
    bool swapInFlight = false;
    /// True from the first swap whose answer was lost.
    bool swapUnknown = false;
};

} // namespace cyclamendrift
