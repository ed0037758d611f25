#include "slot_transaction.h"

#include <chrono>
#include <string>
#include <utility>

namespace cyclamendrift::standins {

namespace {

Instant now() { return std::chrono::steady_clock::now(); }

StatementResult statusResult(const SlotStatus& status)
{
    StatementResult result { .rows = {}, .hasRows = true, .tag = "SELECT 1" };
    result.rows.columns = { "term", "position", "fenced", "is_primary" };
    result.rows.rows.push_back({
        std::to_string(static_cast<std::uint64_t>(status.progress.term)),
        std::to_string(static_cast<std::uint64_t>(status.progress.position)),
        std::to_string(static_cast<std::uint64_t>(status.fenced)),
        status.primary ? "t" : "f",
    });
    return result;
}

} // namespace

SlotTransaction::SlotTransaction(Options options)
    : options(std::move(options))
{
}

StatementResult SlotTransaction::execute(const SqlStatement& statement, const std::vector<Value>& parameters)
{
    if (const auto* control = std::get_if<ControlCall>(&statement))
        return this->runControl(*control, parameters);
    if (std::holds_alternative<Empty>(statement))
        return {};
    if (const auto* ignored = std::get_if<Ignored>(&statement))
        return { .rows = {}, .tag = ignored->tag };
    if (std::holds_alternative<Commit>(statement))
        return this->commit();
    if (std::holds_alternative<Rollback>(statement)) {
        this->rollBack();
        return { .rows = {}, .tag = "ROLLBACK" };
    }
    if (this->current == State::Failed)
        throw SqlError { "25P02", "current transaction is aborted" };
    if (const auto* begin = std::get_if<Begin>(&statement))
        return this->begin(*begin);
    return this->executeOnTables(statement, parameters);
}

StatementResult SlotTransaction::executeOnTables(
    const SqlStatement& statement, const std::vector<Value>& parameters)
{
    if (this->current == State::None) {
        this->current = State::Implicit;
        this->begunIn = this->options.model.progress().term;
    }
    Execution execution { {
        .tables = this->options.model.tables,
        .buffer = this->buffer,
        .locks = this->options.model.locks,
        .owner = this->options.owner,
        .parameters = parameters,
        .checkWritable =
            [this] {
                if (this->readOnly || !this->options.model.writable())
                    throw SqlError { "25006", "cannot execute this in a read-only transaction" };
            },
    } };
    return std::visit(
        [&execution](const auto& form) -> StatementResult {
            if constexpr (requires { execution(form); })
                return execution(form);
            else
                throw SqlError { "0A000", "not a statement on tables" };
        },
        statement);
}

StatementResult SlotTransaction::runControl(const ControlCall& call, const std::vector<Value>& parameters)
{
    std::vector<std::string> arguments;
    for (const auto& operand : call.arguments) {
        if (const auto* parameter = std::get_if<Parameter>(&operand))
            arguments.push_back(parameters.at(parameter->index - 1).value_or(""));
        else if (const auto* literal = std::get_if<Literal>(&operand))
            arguments.push_back(literal->value.value_or(""));
    }
    auto& model = this->options.model;
    const bool isStatus = call.function == "cyclamendrift_status" && arguments.empty();
    if (isStatus)
        return statusResult(model.status());
    if (arguments.empty())
        throw SqlError { "42883", "function " + call.function + " does not exist" };
    const Term term { std::stoull(arguments.front()) };
    SlotStatus status;
    if (call.function == "cyclamendrift_fence")
        status = this->options.group.fence(model, term);
    else if (call.function == "cyclamendrift_promote")
        status = this->options.group.promote(model, term, now());
    else if (call.function == "cyclamendrift_follow" && arguments.size() == 2)
        status = this->options.group.follow(model, term, arguments[1], now());
    else
        throw SqlError { "42883", "function " + call.function + " does not exist" };
    this->options.onChange();
    return statusResult(status);
}

StatementResult SlotTransaction::begin(const Begin& begin)
{
    if (this->current == State::None)
        this->begunIn = this->options.model.progress().term;
    this->current = State::Open;
    this->readOnly = begin.readOnly;
    return { .rows = {}, .tag = "BEGIN" };
}

StatementResult SlotTransaction::commit()
{
    if (this->current == State::Failed) {
        this->rollBack();
        return { .rows = {}, .tag = "ROLLBACK" };
    }
    // Rolled back first, so that a refused commit leaves no transaction open either.
    const auto changes = std::move(this->buffer);
    const auto begunIn = this->begunIn;
    this->current = State::None;
    try {
        this->options.group.commit(this->options.model, changes, begunIn, now());
    } catch (const SqlError&) {
        this->rollBack();
        throw;
    }
    this->rollBack();
    this->options.onChange();
    return { .rows = {}, .tag = "COMMIT" };
}

void SlotTransaction::rollBack()
{
    this->buffer = {};
    this->current = State::None;
    this->readOnly = false;
    this->options.model.locks.release(this->options.owner);
    this->options.onRelease();
}

void SlotTransaction::fail()
{
    const bool explicitTransaction = this->current == State::Open || this->current == State::Failed;
    this->rollBack();
    if (explicitTransaction)
        this->current = State::Failed;
}

void SlotTransaction::commitImplicit()
{
    if (this->current == State::Implicit)
        (void)this->commit();
}

} // namespace cyclamendrift::standins
