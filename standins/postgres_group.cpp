#include "postgres_group.h"

#include "group_model.h"
#include "postgres_session.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <future>
#include <map>
#include <thread>
#include <utility>

namespace cyclamendrift::standins {

using asio::ip::tcp;

namespace {

std::vector<std::string> namesOf(const std::vector<PostgresGroup::Slot>& slots)
{
    std::vector<std::string> names;
    names.reserve(slots.size());
    for (const auto& slot : slots)
        names.push_back(slot.name);
    return names;
}

/// The listening end of one slot. While it refuses connections its port stays bound, so that nobody else gets
/// it.
class Listener {
public:
    Listener(asio::io_context& context, std::uint16_t port, SlotSessions& sessions)
        : acceptor(context)
        , sessions(sessions)
    {
        this->bind(port);
        this->portNumber = this->acceptor.local_endpoint().port();
        this->listen();
    }

    [[nodiscard]] std::uint16_t port() const noexcept { return this->portNumber; }

    void listen()
    {
        if (this->listening)
            return;
        this->listening = true;
        this->acceptor.listen();
        this->accept();
    }

    void refuse()
    {
        this->listening = false;
        this->acceptor.close();
        this->bind(this->portNumber);
    }

private:
    void bind(std::uint16_t port)
    {
        const tcp::endpoint endpoint { asio::ip::address_v4::loopback(), port };
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address { true });
        this->acceptor.bind(endpoint);
    }

    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || !this->listening)
                return;
            if (!error)
                this->serve(std::move(socket));
            this->accept();
        });
    }

    void serve(tcp::socket socket)
    {
        std::error_code ignored;
        socket.set_option(tcp::no_delay { true }, ignored);
        const auto executor = socket.get_executor();
        auto session = std::make_shared<PostgresSession>(std::move(socket), this->sessions);
        asio::co_spawn(
            executor, [session] { return session->run(); }, asio::detached);
    }

    tcp::acceptor acceptor;
    SlotSessions& sessions;
    std::uint16_t portNumber = 0;
    bool listening = false;
};

} // namespace

struct PostgresGroup::State {
    explicit State(const Options& options)
        : model(namesOf(options.slots), options.lag, std::chrono::steady_clock::now())
        , work(context.get_executor())
        , replicationTimer(context)
    {
        for (const auto& slot : options.slots) {
            auto& sessions = this->sessions[slot.name];
            sessions.model = &this->model.slot(slot.name);
            sessions.group = &this->model;
            sessions.maxConnections = options.maxConnections;
            sessions.connectDelay = options.connectDelay;
            sessions.recordReceived = options.recordReceived;
            sessions.onChange = [this] { this->replicate(); };
            this->listeners.emplace(
                slot.name, std::make_unique<Listener>(this->context, slot.port, sessions));
        }
        this->thread = std::thread { [this] { this->context.run(); } };
    }

    ~State()
    {
        this->context.stop();
        this->thread.join();
        // Sessions refer to the slots, so they go first.
        for (auto& [name, slot] : this->sessions)
            this->closeAll(slot);
    }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    [[nodiscard]] Listener& listener(std::string_view slot)
    {
        return *this->listeners.at(this->model.slot(slot).name);
    }
    [[nodiscard]] SlotSessions& sessionsOf(std::string_view slot)
    {
        return this->sessions.at(this->model.slot(slot).name);
    }

    template <class Action> auto run(Action&& action)
    {
        std::packaged_task<decltype(action())()> task { std::forward<Action>(action) };
        auto result = task.get_future();
        asio::post(this->context, [&task] { task(); });
        return result.get();
    }

    void replicate()
    {
        const auto next = this->model.replicate(std::chrono::steady_clock::now());
        if (!next)
            return;
        this->replicationTimer.expires_at(*next);
        this->replicationTimer.async_wait([this](const std::error_code& error) {
            if (!error)
                this->replicate();
        });
    }

    void closeAll(SlotSessions& slot)
    {
        const auto open = slot.open;
        for (const auto& [number, session] : open)
            session->close();
    }

    asio::io_context context;
    GroupModel model;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer replicationTimer;
    std::map<std::string, SlotSessions, std::less<>> sessions;
    std::map<std::string, std::unique_ptr<Listener>, std::less<>> listeners;
    std::thread thread;
};

PostgresGroup::PostgresGroup(const Options& options)
    : state(std::make_unique<State>(options))
{
}

PostgresGroup::~PostgresGroup() = default;

std::uint16_t PostgresGroup::port(std::string_view slot) const { return this->state->listener(slot).port(); }

SlotStatus PostgresGroup::status(std::string_view slot) const
{
    return this->state->run([this, slot] { return this->state->model.slot(slot).status(); });
}

std::size_t PostgresGroup::connections(std::string_view slot) const
{
    return this->state->run([this, slot] { return this->state->sessionsOf(slot).open.size(); });
}

std::string PostgresGroup::received() const
{
    return this->state->run([this] {
        std::string all;
        for (const auto& [name, sessions] : this->state->sessions)
            all += sessions.received;
        return all;
    });
}

void PostgresGroup::kill(std::string_view slot)
{
    this->state->run([this, slot] {
        this->state->model.slot(slot).alive = false;
        this->state->listener(slot).refuse();
        this->state->closeAll(this->state->sessionsOf(slot));
    });
}

void PostgresGroup::revive(std::string_view slot)
{
    this->state->run([this, slot] {
        this->state->model.slot(slot).alive = true;
        this->state->listener(slot).listen();
        this->state->replicate();
    });
}

void PostgresGroup::cut(std::string_view slot)
{
    this->state->run([this, slot] { this->state->model.slot(slot).cut = true; });
}

void PostgresGroup::join(std::string_view slot)
{
    this->state->run([this, slot] {
        this->state->model.slot(slot).cut = false;
        this->state->replicate();
    });
}

void PostgresGroup::silence(std::string_view slot)
{
    this->state->run([this, slot] {
        for (const auto& [number, session] : this->state->sessionsOf(slot).open)
            session->silence();
    });
}

void PostgresGroup::refuse(std::string_view slot)
{
    this->state->run([this, slot] { this->state->listener(slot).refuse(); });
}

void PostgresGroup::lag(std::string_view slot, Duration lag)
{
    this->state->run([this, slot, lag] {
        this->state->model.slot(slot).lag = lag;
        this->state->replicate();
    });
}

void PostgresGroup::slow(std::string_view slot, Duration delay)
{
    this->state->run([this, slot, delay] { this->state->sessionsOf(slot).statementDelay = delay; });
}

} // namespace cyclamendrift::standins
