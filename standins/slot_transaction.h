#pragma once

#include "execution.h"
#include "group_model.h"
#include "sql_statement.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace cyclamendrift::standins {

/// The transaction of one session on a slot, and the statements that run in it.
class SlotTransaction {
public:
    enum class State : std::uint8_t { None, Implicit, Open, Failed };
    struct Options {
        SlotModel& model;
        GroupModel& group;
        /// The session, as the slot's locks know it.
        std::uint64_t owner = 0;
        /// Called after a commit or a change of roles.
        std::function<void()> onChange;
        /// Called when locks were let go, so that those who wait may try again.
        std::function<void()> onRelease;
    };

    explicit SlotTransaction(Options options);

    [[nodiscard]] State state() const noexcept { return this->current; }

    /// Runs a statement; throws SqlError, or LockBusy when it has to be tried again later.
    StatementResult execute(const SqlStatement& statement, const std::vector<Value>& parameters);
    /// Commits what ran outside of BEGIN and COMMIT.
    void commitImplicit();
    void rollBack();
    /// Rolls back after an error; one that BEGIN opened then takes nothing but its end.
    void fail();

private:
    StatementResult executeOnTables(const SqlStatement& statement, const std::vector<Value>& parameters);
    StatementResult runControl(const ControlCall& call, const std::vector<Value>& parameters);
    StatementResult begin(const Begin& begin);
    StatementResult commit();

    Options options;
    TransactionBuffer buffer;
    State current = State::None;
    Term begunIn {};
    bool readOnly = false;
};

} // namespace cyclamendrift::standins
