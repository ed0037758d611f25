#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/core/slot_status.h>
#include <cyclamendrift/upstreams/connection.h>

#include <asio/awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// The few things that the system asks of a slot as a member of its group, in SQL over a connection. The SQL
/// is given by options, so that a platform which offers terms, positions and promotion in another form needs
/// no change here. Throws UpstreamError.
class SlotControl {
public:
    struct Options {
        std::string statusSql = "SELECT term, position, fenced, is_primary FROM cyclamendrift_status()";
        std::string fenceSql = "SELECT term, position, fenced, is_primary FROM cyclamendrift_fence($1)";
        std::string promoteSql = "SELECT term, position, fenced, is_primary FROM cyclamendrift_promote($1)";
        std::string followSql = "SELECT term, position, fenced, is_primary FROM cyclamendrift_follow($1, $2)";
    };

    explicit SlotControl(Options options);

    /// The statement that reads a status; for pipelines that read it before and after a caller's statement.
    [[nodiscard]] Statement statusStatement() const;

    /// The status in the answer to statusStatement().
    [[nodiscard]] static SlotStatus parse(const RowSet& answer);

    /// Reads the status.
    [[nodiscard]] asio::awaitable<SlotStatus> status(Connection& connection, Instant deadline) const;

    /// Makes the slot refuse every term below `term` from now on: it confirms and accepts no writes of them.
    /// Has no effect when it is fenced at a higher one already; the status tells.
    [[nodiscard]] asio::awaitable<SlotStatus> fence(
        Connection& connection, Term term, Instant deadline) const;

    /// Makes the slot primary of a term that it was fenced at.
    [[nodiscard]] asio::awaitable<SlotStatus> promote(
        Connection& connection, Term term, Instant deadline) const;

    /// Makes the slot a replica of another one in a term; what its log holds beyond that primary's is
    /// dropped.
    [[nodiscard]] asio::awaitable<SlotStatus> follow(
        Connection& connection, Term term, const SlotName& primary, Instant deadline) const;

private:
    Options options;
};

} // namespace cyclamendrift
