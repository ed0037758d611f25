#include "postgres_session.h"

#include "postgres_wire.h"

#include <asio/read.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace cyclamendrift::standins {

namespace {

constexpr std::uint32_t protocolVersion = 196608;
constexpr std::uint32_t cancelRequest = 80877102;
constexpr std::uint32_t sslRequest = 80877103;
constexpr std::uint32_t gssRequest = 80877104;
constexpr std::uint32_t textType = 25;
constexpr std::uint32_t nullLength = 0xffffffff;
constexpr std::size_t readSize = 16384;
constexpr std::size_t maxMessageSize = 16U << 20U;
constexpr std::uint32_t cancelKey = 4711;

/// Thrown when the connection has ended.
struct Disconnected { };

} // namespace

PostgresSession::PostgresSession(asio::ip::tcp::socket socket, SlotSessions& slot)
    : socket(std::move(socket))
    , timer(this->socket.get_executor())
    , slot(slot)
    , number(++slot.lastSession)
    , transaction({ .model = *slot.model,
          .group = *slot.group,
          .owner = this->number,
          .onChange = slot.onChange,
          .onRelease = [this] { this->wakeOthers(); } })
{
}

asio::awaitable<void> PostgresSession::run()
{
    const auto self = this->shared_from_this();
    try {
        const bool accepted = co_await this->startUp();
        while (accepted) {
            const auto message = co_await this->readMessage();
            if (message.type == 'X')
                break;
            co_await this->handle(message);
        }
    } catch (const Disconnected&) {
        // The client or a fault ended the connection; its transaction is rolled back below.
    } catch (const std::exception&) {
        // The socket failed, or the client broke the protocol.
    }
    this->close();
}

void PostgresSession::close()
{
    if (this->closed)
        return;
    this->closed = true;
    this->transaction.rollBack();
    std::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->slot.open.erase(this->number);
}

void PostgresSession::wake(bool cancelled)
{
    this->cancelled = this->cancelled || cancelled;
    if (cancelled || this->waitsForLock)
        this->timer.cancel();
}

void PostgresSession::wakeOthers()
{
    for (const auto& [other, session] : this->slot.open) {
        if (other != this->number)
            session->wake();
    }
}

asio::awaitable<bool> PostgresSession::startUp()
{
    while (true) {
        const auto header = co_await this->read(sizeof(std::uint32_t));
        const std::uint32_t length = WireReader { header }.int32();
        if (length < 8 || length > maxMessageSize)
            throw Disconnected {};
        const auto payload = co_await this->read(length - sizeof(std::uint32_t));
        WireReader reader { payload };
        const auto code = reader.int32();
        if (code == sslRequest || code == gssRequest) {
            this->output += 'N';
            co_await this->flush();
            continue;
        }
        if (code == cancelRequest) {
            const auto found = this->slot.open.find(reader.int32());
            if (found != this->slot.open.end() && reader.int32() == cancelKey)
                found->second->wake(true);
            co_return false;
        }
        if (code != protocolVersion)
            throw Disconnected {};
        break;
    }
    co_await this->pause(this->slot.connectDelay);
    if (!this->slot.model->alive)
        throw Disconnected {};
    if (this->slot.open.size() >= this->slot.maxConnections) {
        this->sendError("53300", "sorry, too many clients already");
        co_await this->flush();
        co_return false;
    }
    this->slot.open[this->number] = this->shared_from_this();
    this->output += WireMessage { 'R' }.int32(0).str();
    for (const auto& [name, value] : { std::pair { "server_version", "15.0" }, { "client_encoding", "UTF8" },
             { "standard_conforming_strings", "on" }, { "integer_datetimes", "on" } })
        this->output += WireMessage { 'S' }.text(name).text(value).str();
    this->output += WireMessage { 'K' }.int32(this->number).int32(cancelKey).str();
    this->sendReady();
    co_await this->flush();
    co_return true;
}

asio::awaitable<std::string> PostgresSession::read(std::size_t count)
{
    while (this->input.size() < count) {
        if (!this->output.empty())
            co_await this->flush();
        std::string chunk(readSize, '\0');
        std::error_code error;
        const auto size = co_await this->socket.async_read_some(
            asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        if (error || this->closed)
            throw Disconnected {};
        chunk.resize(size);
        if (this->silent)
            continue;
        if (this->slot.recordReceived)
            this->slot.received += chunk;
        this->input += chunk;
    }
    auto result = this->input.substr(0, count);
    this->input.erase(0, count);
    co_return result;
}

asio::awaitable<PostgresSession::Message> PostgresSession::readMessage()
{
    constexpr std::size_t headerSize = 5;
    const auto header = co_await this->read(headerSize);
    const std::uint32_t length = WireReader { std::string_view { header }.substr(1) }.int32();
    if (length < sizeof(std::uint32_t) || length > maxMessageSize)
        throw Disconnected {};
    Message message;
    message.type = header.front();
    message.payload = co_await this->read(length - sizeof(std::uint32_t));
    co_return message;
}

asio::awaitable<void> PostgresSession::flush()
{
    std::string bytes;
    bytes.swap(this->output);
    if (this->closed)
        throw Disconnected {};
    if (this->silent || bytes.empty())
        co_return;
    std::error_code error;
    co_await asio::async_write(
        this->socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (error || this->closed)
        throw Disconnected {};
}

asio::awaitable<void> PostgresSession::pause(Duration duration)
{
    if (duration <= Duration::zero())
        co_return;
    this->timer.expires_after(duration);
    std::error_code ignored;
    co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (this->closed)
        throw Disconnected {};
}

asio::awaitable<void> PostgresSession::handle(const Message& message)
{
    if (message.type == 'Q') {
        co_await this->simpleQuery(WireReader { message.payload }.text());
        co_return;
    }
    if (message.type == 'S') {
        this->sync();
        co_return;
    }
    if (this->skipToSync)
        co_return;
    std::string state;
    std::string text;
    try {
        co_await this->handleExtended(message);
        co_return;
    } catch (const SqlError& error) {
        state = error.sqlState();
        text = error.what();
    }
    this->sendError(state, text);
    this->skipToSync = true;
}

asio::awaitable<void> PostgresSession::handleExtended(const Message& message)
{
    switch (message.type) {
    case 'P':
        this->parse(message.payload);
        break;
    case 'B':
        this->bind(message.payload);
        break;
    case 'D':
        this->describe(message.payload);
        break;
    case 'E':
        co_await this->executePortal(message.payload);
        break;
    case 'C':
        this->output += WireMessage { '3' }.str();
        break;
    case 'H':
        co_await this->flush();
        break;
    default:
        throw SqlError { "08P01", "the stand-in does not know this message" };
    }
}

asio::awaitable<void> PostgresSession::simpleQuery(std::string text)
{
    std::string state;
    std::string message;
    try {
        const auto statement = parseSql(text);
        const std::vector<Value> noParameters;
        const auto result = co_await this->execute(statement, noParameters);
        this->transaction.commitImplicit();
        this->sendRows(result, true);
    } catch (const SqlError& error) {
        state = error.sqlState();
        message = error.what();
    }
    if (!state.empty())
        this->sendError(state, message);
    this->sendReady();
}

void PostgresSession::parse(std::string_view payload)
{
    WireReader reader { payload };
    const auto name = reader.text();
    this->prepared[name] = parseSql(reader.text());
    this->output += WireMessage { '1' }.str();
}

void PostgresSession::bind(std::string_view payload)
{
    WireReader reader { payload };
    const auto portalName = reader.text();
    const auto found = this->prepared.find(reader.text());
    if (found == this->prepared.end())
        throw SqlError { "26000", "the prepared statement does not exist" };
    for (auto formats = reader.int16(); formats > 0; --formats) {
        if (reader.int16() != 0)
            throw SqlError { "0A000", "the stand-in takes parameters in text form only" };
    }
    Portal portal { .statement = found->second, .parameters = {} };
    for (auto count = reader.int16(); count > 0; --count) {
        const auto length = reader.int32();
        if (length == nullLength)
            portal.parameters.emplace_back(std::nullopt);
        else
            portal.parameters.emplace_back(std::string { reader.take(length) });
    }
    this->portals.insert_or_assign(portalName, std::move(portal));
    this->output += WireMessage { '2' }.str();
}

/// The description goes out together with the rows, so that it can be read off them.
void PostgresSession::describe(std::string_view payload)
{
    const auto portal = this->portals.find(std::string { payload.substr(1, payload.size() - 2) });
    if (payload.front() != 'P' || portal == this->portals.end())
        throw SqlError { "0A000", "the stand-in describes portals only" };
    portal->second.described = true;
}

asio::awaitable<void> PostgresSession::executePortal(std::string_view payload)
{
    const auto name = WireReader { payload }.text();
    const auto found = this->portals.find(name);
    if (found == this->portals.end())
        throw SqlError { "34000", "the portal does not exist" };
    const Portal portal = found->second;
    const auto result = co_await this->execute(portal.statement, portal.parameters);
    this->sendRows(result, portal.described);
}

void PostgresSession::sync()
{
    if (!this->skipToSync) {
        try {
            this->transaction.commitImplicit();
        } catch (const SqlError& error) {
            this->sendError(error.sqlState(), error.what());
        }
    }
    this->skipToSync = false;
    this->portals.clear();
    this->sendReady();
}

asio::awaitable<StatementResult> PostgresSession::execute(
    const SqlStatement& statement, const std::vector<Value>& parameters)
{
    this->cancelled = false;
    co_await this->pause(this->slot.statementDelay);
    while (true) {
        if (this->cancelled)
            throw SqlError { "57014", "canceling statement due to user request" };
        try {
            co_return this->transaction.execute(statement, parameters);
        } catch (const LockBusy&) {
            // Another transaction holds a row; its end wakes this session up.
        }
        this->waitsForLock = true;
        co_await this->pause(std::chrono::seconds { 1 });
        this->waitsForLock = false;
    }
}

void PostgresSession::sendRows(const StatementResult& result, bool withDescription)
{
    if (withDescription && result.hasRows) {
        WireMessage description { 'T' };
        description.int16(static_cast<std::uint16_t>(result.rows.columns.size()));
        constexpr std::uint16_t variableLength = 0xffff;
        for (const auto& column : result.rows.columns)
            description.text(column)
                .int32(0)
                .int16(0)
                .int32(textType)
                .int16(variableLength)
                .int32(nullLength)
                .int16(0);
        this->output += description.str();
    } else if (withDescription && !result.tag.empty()) {
        this->output += WireMessage { 'n' }.str();
    }
    for (const auto& row : result.rows.rows) {
        WireMessage message { 'D' };
        message.int16(static_cast<std::uint16_t>(row.size()));
        for (const auto& value : row) {
            message.int32(value ? static_cast<std::uint32_t>(value->size()) : nullLength);
            message.raw(value.value_or(""));
        }
        this->output += message.str();
    }
    if (result.tag.empty())
        this->output += WireMessage { 'I' }.str();
    else
        this->output += WireMessage { 'C' }.text(result.tag).str();
}

void PostgresSession::sendError(const std::string& sqlState, const std::string& message)
{
    const bool atStart = !this->slot.open.contains(this->number);
    const auto* severity = atStart ? "FATAL" : "ERROR";
    WireMessage error { 'E' };
    error.raw("S").text(severity).raw("V").text(severity).raw("C").text(sqlState).raw("M").text(message).text(
        "");
    this->output += error.str();
    this->transaction.fail();
}

void PostgresSession::sendReady()
{
    const auto state = this->transaction.state();
    const char* status = state == SlotTransaction::State::Open ? "T" : "I";
    if (state == SlotTransaction::State::Failed)
        status = "E";
    this->output += WireMessage { 'Z' }.raw(status).str();
}

} // namespace cyclamendrift::standins
