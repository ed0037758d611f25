#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/siblings/sibling_client.h>

#include <optional>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Where an open transaction is: its home proxy, its database, and its id there.
struct TransactionHandle {
    SiblingAddress home;
    DatabaseName database;
    TransactionId transaction;

    friend bool operator==(const TransactionHandle& left, const TransactionHandle& right)
    {
        return left.home.vm == right.home.vm && left.home.host == right.home.host
            && left.home.port == right.home.port && left.database == right.database
            && left.transaction == right.transaction;
    }
};

/// Turns handles into the transaction ids that callers hold, and back. An id carries a code made with the
/// siblings' secret, so that none but a proxy can make one.
///
///     const TransactionHandleCodec codec { settings.siblings.secret };
///     auto id = codec.seal(handle);
class TransactionHandleCodec {
public:
    explicit TransactionHandleCodec(std::string_view secret);

    /// The id that stands for a handle, of letters, digits, '-' and '_'.
    [[nodiscard]] std::string seal(const TransactionHandle& handle) const;

    /// The handle that an id stands for; empty when no proxy of this fleet made it.
    [[nodiscard]] std::optional<TransactionHandle> open(std::string_view id) const;

private:
    std::string key;
};

} // namespace cyclamendrift
