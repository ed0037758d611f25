#pragma once

#include "common.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <vector>

namespace review {

struct Position {
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const Position&, const Position&) = default;
    [[nodiscard]] std::string text() const
    {
        return std::to_string(this->term) + '.' + std::to_string(this->number);
    }
};

/// A statement of a client that a database has run.
struct Run {
    std::string id;
    std::string database;
    std::string service;
    std::string tenant;
    std::string text;
    /// The log on which it ran; after a commit, the position of the commit.
    Position position;
    double at = 0;
    std::string outcome;
    /// When it reached the database.
    double reachedAt = 0;
    /// The values of the connection's session.
    std::map<std::string, std::string> values;
};

/// The databases of one service: a primary and its replicas, with the line protocol of PROTOCOL.md.
class Group {
public:
    struct Settings {
        std::string service;
        std::size_t slots = 3;
        std::size_t queue = 24;
        std::size_t maxConnections = 21;
        double handshakeMs = 12;
        double workMs = 8;
        double lagMs = 60;
        double promoteMs = 300;
        bool syncReplicas = false;
    };

    struct Commit {
        Position position;
        std::string id;
        std::vector<std::pair<std::string, std::string>> writes;
    };

    struct Session;

    struct Node {
        explicit Node(const tcp::endpoint& endpoint)
            : endpoint(endpoint)
        {
        }

        tcp::endpoint endpoint;
        std::unique_ptr<tcp::acceptor> acceptor;
        std::string id;
        std::string zone;
        bool primary = false;
        bool running = true;
        /// Receives nothing from the primary.
        bool deaf = false;
        std::uint64_t term = 3;
        std::uint64_t held = 0;
        /// The whole log as received, and how much of it is applied.
        std::vector<Commit> log;
        std::size_t applied = 0;
        std::size_t busy = 0;
        std::deque<std::shared_ptr<asio::steady_timer>> queue;
        std::set<std::shared_ptr<Session>> sessions;

        [[nodiscard]] Position received() const
        {
            return this->log.empty() ? Position { this->term, 1000 } : this->log.back().position;
        }
        [[nodiscard]] Position position() const
        {
            return this->applied == 0 ? Position { 3, 1000 } : this->log[this->applied - 1].position;
        }
    };

    struct Session {
        explicit Session(tcp::socket socket)
            : socket(std::move(socket))
        {
        }
        tcp::socket socket;
        std::string tenant;
        char state = 'I';
        bool readOnly = false;
        std::size_t snapshot = 0;
        std::map<std::string, std::pair<bool, std::string>> prepared;
        std::map<std::string, std::string> values;
        std::vector<std::pair<std::string, std::string>> writes;
    };

    explicit Group(Settings settings)
        : settings(std::move(settings))
    {
    }

    Node& add(const tcp::endpoint& endpoint, const std::string& id, const std::string& zone)
    {
        auto& node = *this->nodes.emplace_back(std::make_unique<Node>(endpoint));
        node.id = id;
        node.zone = zone;
        node.primary = this->nodes.size() == 1;
        this->open(node);
        return node;
    }

    [[nodiscard]] Node& node(std::size_t index) { return *this->nodes.at(index); }
    [[nodiscard]] const std::vector<std::unique_ptr<Node>>& all() const { return this->nodes; }
    [[nodiscard]] const Settings& current() const { return this->settings; }
    void setLag(double ms) { this->settings.lagMs = ms; }

    [[nodiscard]] static Json entryOf(const Node& node, const Settings& settings)
    {
        return { { "service", settings.service },
            { "address", node.endpoint.address().to_string() + ':' + std::to_string(node.endpoint.port()) },
            { "zone", node.zone }, { "version", "v1" }, { "slots", settings.slots }, { "state", "ready" },
            { "coldLeftMs", 0 }, { "dbRole", node.primary ? "primary" : "replica" }, { "seq", 4 } };
    }

    /// Ends the database: its connections are reset, it keeps its log.
    void crash(Node& node)
    {
        node.running = false;
        node.acceptor.reset();
        for (const auto& session : node.sessions) {
            asio::error_code ignored;
            session->socket.set_option(asio::socket_base::linger { true, 0 }, ignored);
            session->socket.close(ignored);
        }
        node.sessions.clear();
    }

    void restart(Node& node)
    {
        node.running = true;
        node.held = 0;
        if (node.primary && this->leader() != &node)
            node.primary = false;
        this->open(node);
        this->catchUp(node);
    }

    /// Ends the time in which a replica received nothing.
    void hearAgain(Node& node)
    {
        node.deaf = false;
        this->catchUp(node);
    }

    /// POST /promotion; returns the status.
    int promote(const std::string& id)
    {
        auto* node = this->find(id);
        if (node == nullptr || !node->running)
            return 409;
        if (!node->primary && !this->promoting.contains(id)) {
            this->promoting.insert(id);
            spawn(this->lead(*node));
        }
        return 200;
    }

    std::vector<Run> runs;
    /// Commits that were in a client's acknowledged log when another database was promoted, and are not there.
    std::vector<Commit> rolledBack;

private:
    Node* find(const std::string& id)
    {
        for (const auto& node : this->nodes) {
            if (node->id == id)
                return node.get();
        }
        return nullptr;
    }

    Node* leader()
    {
        Node* newest = nullptr;
        for (const auto& node : this->nodes) {
            if (node->primary && (newest == nullptr || node->term > newest->term))
                newest = node.get();
        }
        return newest;
    }

    void open(Node& node)
    {
        node.acceptor = std::make_unique<tcp::acceptor>(context, node.endpoint);
        node.endpoint = node.acceptor->local_endpoint();
        spawn(this->acceptLoop(node));
    }

    awaitable<void> lead(Node& node)
    {
        co_await sleepMs(this->settings.promoteMs);
        this->promoting.erase(node.id);
        if (!node.running)
            co_return;
        std::uint64_t newest = 0;
        for (const auto& other : this->nodes)
            newest = std::max(newest, other->term);
        const auto* before = this->leader();
        if (before != nullptr) {
            for (const auto& commit : before->log) {
                if (std::none_of(node.log.begin(), node.log.end(),
                        [&commit](const Commit& kept) { return kept.position == commit.position; }))
                    this->rolledBack.push_back(commit);
            }
        }
        node.primary = true;
        node.term = newest + 1;
        node.held = 0;
        node.applied = node.log.size();
        record("database " + node.id + " leads term " + std::to_string(node.term) + " from "
            + node.received().text());
        for (const auto& other : this->nodes) {
            other->held = 0;
            if (other.get() != &node && other->running)
                this->catchUp(*other);
        }
        // A running former primary finds the new one within a second.
        co_await sleepMs(1000);
        for (const auto& other : this->nodes) {
            if (other->primary && other->running && other->term < node.term) {
                other->primary = false;
                this->catchUp(*other);
            }
        }
    }

    /// Takes over the primary's log, as a replica that reaches it.
    void catchUp(Node& node)
    {
        const auto* primary = this->leader();
        if (node.primary || node.deaf || !node.running || primary == nullptr || !primary->running)
            return;
        if (node.held > primary->term)
            return;
        node.term = primary->term;
        std::size_t same = 0;
        while (same < node.log.size() && same < primary->log.size()
            && node.log[same].position == primary->log[same].position)
            ++same;
        node.applied = std::min(node.applied, same);
        node.log = primary->log;
        spawn(this->applyLater(node, node.log.size()));
    }

    awaitable<void> applyLater(Node& node, std::size_t count)
    {
        const auto term = node.term;
        co_await sleepMs(this->settings.lagMs);
        if (node.term == term && !node.primary && node.running)
            node.applied = std::max(node.applied, std::min(count, node.log.size()));
    }

    awaitable<void> acceptLoop(Node& node)
    {
        auto& acceptor = *node.acceptor;
        while (true) {
            asio::error_code error;
            auto socket = co_await acceptor.async_accept(asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            socket.set_option(tcp::no_delay { true }, error);
            const auto session = std::make_shared<Session>(std::move(socket));
            node.sessions.insert(session);
            spawn(this->serve(node, session));
        }
    }

    awaitable<void> serve(Node& node, std::shared_ptr<Session> session)
    {
        std::string buffer;
        bool started = false;
        while (true) {
            asio::error_code error;
            const auto size = co_await asio::async_read_until(session->socket, asio::dynamic_buffer(buffer),
                "\r\n", asio::redirect_error(use_awaitable, error));
            if (error)
                break;
            const auto line = buffer.substr(0, size - 2);
            buffer.erase(0, size);
            std::string reply;
            if (!started) {
                reply = co_await this->start(node, *session, line);
                started = reply.starts_with("READY");
            } else {
                reply = co_await this->query(node, *session, line);
            }
            if (!node.running)
                break;
            co_await asio::async_write(
                session->socket, asio::buffer(reply), asio::redirect_error(use_awaitable, error));
            if (error || !started)
                break;
        }
        asio::error_code ignored;
        session->socket.close(ignored);
        node.sessions.erase(session);
    }

    /// Takes a slot for that time; false when the queue is full.
    awaitable<bool> work(Node& node, double ms)
    {
        if (node.busy >= this->settings.slots) {
            if (node.queue.size() >= this->settings.queue)
                co_return false;
            const auto turn = std::make_shared<asio::steady_timer>(context, asio::steady_timer::time_point::max());
            node.queue.push_back(turn);
            asio::error_code ignored;
            co_await turn->async_wait(asio::redirect_error(use_awaitable, ignored));
        } else {
            ++node.busy;
        }
        co_await sleepMs(ms);
        // The slot passes to the first of the queue.
        if (!node.queue.empty()) {
            node.queue.front()->cancel();
            node.queue.pop_front();
        } else {
            --node.busy;
        }
        co_return true;
    }

    awaitable<std::string> start(Node& node, Session& session, const std::string& line)
    {
        std::istringstream words { line };
        std::string word;
        std::string service;
        std::string id;
        words >> word >> service >> session.tenant >> id;
        if (word != "START")
            co_return "ERROR MALFORMED no START\r\n";
        if (service != this->settings.service || (!id.empty() && id != node.id))
            co_return "ERROR WRONGNODE " + node.id + "\r\n";
        if (node.sessions.size() > this->settings.maxConnections)
            co_return "ERROR TOOMANY connections\r\n";
        if (!co_await this->work(node, this->settings.handshakeMs))
            co_return "ERROR BUSY full\r\n";
        co_return "READY I " + node.position().text() + "\r\n";
    }

    static std::string ready(const Node& node, const Session& session)
    {
        return std::string { "READY " } + session.state + ' ' + node.position().text() + "\r\n";
    }

    std::string fail(const Node& node, Session& session, const std::string& code)
    {
        if (session.state == 'T' && code != "BUSY")
            session.state = 'E';
        return "ERROR " + code + ' ' + node.id + "\r\n" + ready(node, session);
    }

    awaitable<std::string> query(Node& node, Session& session, const std::string& line)
    {
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        const auto id = line.substr(first + 1, second - first - 1);
        auto text = second == std::string::npos ? std::string {} : line.substr(second + 1);
        if (text.starts_with("AFTER ")) {
            const auto end = text.find(' ', 6);
            const auto dot = text.find('.');
            const Position wanted { std::stoull(text.substr(6, dot - 6)),
                std::stoull(text.substr(dot + 1, end - dot - 1)) };
            text = text.substr(end + 1);
            if (node.position() < wanted)
                co_return this->fail(node, session, "LAGGING");
        }
        std::istringstream words { text };
        std::string verb;
        std::string one;
        std::string two;
        words >> verb >> one >> two;
        const std::string done = "DONE -\r\n";
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
            co_return co_await this->order(node, session, verb, one);
        if (session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT")
            co_return "ERROR MALFORMED failed\r\n" + ready(node, session);
        if (verb == "RESET") {
            session.prepared.clear();
            session.values.clear();
        } else if (verb == "SET") {
            session.values[one] = two;
        } else if (verb == "PREPARE") {
            session.prepared[one] = { two == "WRITE", text };
        } else if (verb == "BEGIN") {
            if (!node.primary && one != "READ")
                co_return this->fail(node, session, "READONLY");
            session.state = 'T';
            session.readOnly = one == "READ";
            session.snapshot = node.applied;
        } else if (verb == "ROLLBACK" || (verb == "COMMIT" && session.state == 'E')) {
            session.state = 'I';
            session.writes.clear();
            if (verb == "COMMIT")
                co_return "ERROR ABORTED " + node.id + "\r\n" + ready(node, session);
        } else {
            co_return co_await this->data(node, session, id, text);
        }
        co_return done + ready(node, session);
    }

    awaitable<std::string> order(Node& node, Session& session, std::string verb, std::string one)
    {
        if (verb == "STATUS" && !co_await this->work(node, 1))
            co_return this->fail(node, session, "BUSY");
        if (verb == "PAUSE" && !node.primary && std::stoull(one) > node.term)
            node.held = std::max<std::uint64_t>(node.held, std::stoull(one));
        if (verb == "RESUME") {
            node.held = 0;
            this->catchUp(node);
        }
        if (verb == "DEMOTE" && node.primary && std::stoull(one) > node.term)
            node.primary = false;
        std::ostringstream row;
        row << "ROW " << (node.primary ? "primary " : "replica ") << node.term << ' ' << node.received().text()
            << ' ' << node.held << " 0 " << node.busy << ' ' << node.sessions.size() << "\r\nDONE -\r\n";
        co_return row.str() + ready(node, session);
    }

    awaitable<std::string> data(Node& node, Session& session, std::string id, std::string text)
    {
        std::istringstream words { text };
        std::string verb;
        std::string item;
        std::string value;
        words >> verb >> item >> value;
        if (verb == "EXECUTE") {
            const auto shape = session.prepared.find(item);
            if (shape == session.prepared.end())
                co_return this->fail(node, session, "NOSTMT");
            verb = shape->second.first ? "WRITE" : "READ";
            item = value;
            value.clear();
            words >> value;
        }
        if (verb != "READ" && verb != "WRITE" && verb != "COMMIT")
            co_return this->fail(node, session, "MALFORMED");
        const auto reachedAt = nowMs();
        const bool wrote = verb == "WRITE" || !session.writes.empty();
        const bool plain = session.state == 'T' && !session.readOnly;
        if (!node.primary && (verb == "WRITE" || (plain && (verb != "COMMIT" || wrote))))
            co_return this->fail(node, session, "READONLY");
        if (!co_await this->work(node, this->settings.workMs))
            co_return this->fail(node, session, "BUSY");
        if (!node.running)
            co_return std::string {};
        if (!node.primary && wrote)
            co_return this->fail(node, session, "READONLY");
        std::string rows;
        if (verb == "READ")
            rows = "ROW " + this->valueOf(node, session, item) + "\r\n";
        if (verb == "WRITE")
            session.writes.emplace_back(item, value);
        const bool commits = verb == "COMMIT" || session.state == 'I';
        auto position = node.position();
        std::string outcome = "done";
        if (commits && !session.writes.empty()) {
            position = co_await this->commit(node, session, id);
            outcome = "committed";
        }
        if (commits)
            session.state = 'I';
        this->runs.push_back({ .id = id, .database = node.id, .service = this->settings.service,
            .tenant = session.tenant, .text = text, .position = position, .at = nowMs(), .outcome = outcome,
            .reachedAt = reachedAt, .values = session.values });
        record("database " + node.id + " (" + this->settings.service + ", " + (node.primary ? "primary" : "replica")
            + ") runs " + id + " " + text + " for " + session.tenant + " on " + position.text() + ": " + outcome);
        co_return rows + "DONE sig." + node.id + '.' + id + "\r\n" + ready(node, session);
    }

    static std::string valueOf(const Node& node, const Session& session, const std::string& item)
    {
        for (auto write = session.writes.rbegin(); write != session.writes.rend(); ++write) {
            if (write->first == item)
                return write->second;
        }
        for (auto at = node.applied; at > 0; --at) {
            const auto& writes = node.log[at - 1].writes;
            for (auto write = writes.rbegin(); write != writes.rend(); ++write) {
                if (write->first == item)
                    return write->second;
            }
        }
        return "none";
    }

    awaitable<Position> commit(Node& node, Session& session, std::string id)
    {
        const Position position { node.term, node.received().number + 1 };
        node.log.push_back({ .position = position, .id = std::move(id), .writes = std::move(session.writes) });
        session.writes.clear();
        node.applied = node.log.size();
        co_await sleepMs(1);
        while (node.running) {
            std::size_t received = 0;
            for (const auto& other : this->nodes) {
                if (other.get() == &node || other->primary || !other->running || other->deaf
                    || other->held > node.term)
                    continue;
                if (other->received() < position)
                    this->catchUp(*other);
                ++received;
            }
            if (!this->settings.syncReplicas || received > 0)
                break;
            co_await sleepMs(5);
        }
        co_return position;
    }

    Settings settings;
    std::vector<std::unique_ptr<Node>> nodes;
    std::set<std::string> promoting;
};

} // namespace review
