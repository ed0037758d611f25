#include "line_upstreams.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace cyclamendrift {

struct LineUpstreams::Server {
    Server(asio::io_context& context, Node given)
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , node(std::move(given))
    {
        this->node.port = this->acceptor.local_endpoint().port();
    }

    asio::ip::tcp::acceptor acceptor;
    Node node;
    std::vector<std::shared_ptr<Session>> sessions;
};

struct LineUpstreams::Session {
    std::shared_ptr<platform::LineSocket> socket;
    Server* server = nullptr;
    bool started = false;
    bool inTransaction = false;
    std::map<std::string, std::pair<std::string, std::string>> prepared;
    /// Statement id, item and data of each write of the open transaction.
    std::vector<std::array<std::string, 3>> writes;
};

LineUpstreams::LineUpstreams(asio::io_context& context, std::string service, std::size_t count)
    : context(context)
    , service(std::move(service))
{
    for (std::size_t index = 0; index < count; ++index) {
        Node node { .id = "i-" + std::to_string(index), .primary = index == 0 };
        this->servers.push_back(std::make_unique<Server>(context, std::move(node)));
        this->accept(*this->servers.back());
    }
}

LineUpstreams::~LineUpstreams() = default;

LineUpstreams::Node& LineUpstreams::node(std::size_t index) { return this->servers.at(index)->node; }

std::string LineUpstreams::entryOf(std::size_t index) const
{
    const auto& node = this->servers.at(index)->node;
    std::ostringstream text;
    text << R"({"service":")" << this->service << R"(","address":"127.0.0.1:)" << node.port << R"(","zone":")"
         << node.zone << R"(","version":"v1","slots":3,"state":"ready","coldLeftMs":0,"dbRole":")"
         << (node.primary ? "primary" : "replica") << R"(","seq":1})";
    return text.str();
}

void LineUpstreams::kill(std::size_t index)
{
    auto& server = *this->servers.at(index);
    server.node.running = false;
    asio::error_code ignored;
    server.acceptor.close(ignored);
    for (const auto& session : server.sessions)
        session->socket->close();
    server.sessions.clear();
}

bool LineUpstreams::promote(const std::string& id)
{
    std::uint64_t newest = 0;
    for (const auto& server : this->servers)
        newest = std::max(newest, server->node.term);
    for (const auto& server : this->servers) {
        auto& node = server->node;
        if (node.id != id || !node.running)
            continue;
        if (!node.primary) {
            node.primary = true;
            node.term = newest + 1;
            node.held = 0;
        }
        return true;
    }
    return false;
}

void LineUpstreams::accept(Server& server)
{
    server.acceptor.async_accept(
        [this, &server](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            auto session = std::make_shared<Session>();
            session->server = &server;
            session->socket = std::make_shared<platform::LineSocket>(std::move(socket));
            server.sessions.push_back(session);
            const std::weak_ptr<Session> weak = session;
            session->socket->start({ .onLine =
                                         [this, weak](std::string_view line) {
                                             if (const auto alive = weak.lock())
                                                 this->take(alive, line);
                                         },
                .onEnd
                = [&server, weak](platform::LineSocket::End) { std::erase(server.sessions, weak.lock()); } });
            this->accept(server);
        });
}

std::string LineUpstreams::ready(const Session& session)
{
    const auto& node = session.server->node;
    return std::string { "READY " } + (session.inTransaction ? "T " : "I ") + std::to_string(node.term) + '.'
        + std::to_string(node.position) + "\r\n";
}

void LineUpstreams::take(const std::shared_ptr<Session>& session, std::string_view line)
{
    std::istringstream words { std::string { line } };
    std::string word;
    words >> word;
    if (word == "START") {
        std::string name;
        std::string team;
        std::string id;
        words >> name >> team >> id;
        if (name != this->service || id != session->server->node.id)
            return session->socket->send("ERROR WRONGNODE another one\r\n");
        this->teamsSeen.insert(team);
        session->started = true;
        return session->socket->send(ready(*session));
    }
    std::string id;
    words >> id >> std::ws;
    std::string text;
    std::getline(words, text);
    session->socket->send(this->answer(*session, id, text));
}

std::string LineUpstreams::answer(Session& session, const std::string& id, std::string text)
{
    auto& node = session.server->node;
    const std::string done = "DONE -\r\n";
    if (text.starts_with("AFTER ")) {
        const auto end = text.find(' ', 6);
        const auto dot = text.find('.');
        const std::uint64_t term = std::stoull(text.substr(6, dot - 6));
        const std::uint64_t position = std::stoull(text.substr(dot + 1, end - dot - 1));
        if (std::pair { node.term, node.position } < std::pair { term, position })
            return "ERROR LAGGING behind\r\n" + ready(session);
        text = text.substr(end + 1);
    }
    if (text == "BEGIN" && !node.primary)
        return "ERROR READONLY a replica\r\n" + ready(session);
    if (text == "BEGIN" || text == "BEGIN READ")
        session.inTransaction = true;
    else if (text == "ROLLBACK")
        session.inTransaction = false, session.writes.clear();
    else if (text == "RESET")
        session.prepared.clear();
    else if (text.starts_with("PREPARE ")) {
        std::istringstream words { text.substr(8) };
        std::string name;
        std::pair<std::string, std::string> shape;
        words >> name >> shape.first >> shape.second;
        session.prepared[name] = shape;
    } else if (text.starts_with("STATUS") || text.starts_with("PAUSE") || text == "RESUME"
        || text.starts_with("DEMOTE"))
        return this->order(session, text);
    else if (!text.starts_with("SET "))
        return this->data(session, id, text);
    return done + ready(session);
}

std::string LineUpstreams::order(Session& session, const std::string& text)
{
    auto& node = session.server->node;
    if (text.starts_with("PAUSE "))
        node.held = std::stoull(text.substr(6));
    if (text == "RESUME")
        node.held = 0;
    if (text.starts_with("DEMOTE ") && std::stoull(text.substr(7)) > node.term)
        node.primary = false;
    std::ostringstream row;
    row << "ROW " << (node.primary ? "primary " : "replica ") << node.term << ' ' << node.term << '.'
        << node.position << ' ' << node.held << " 0 0 1\r\nDONE -\r\n";
    return row.str() + ready(session);
}

std::string LineUpstreams::data(Session& session, const std::string& id, const std::string& text)
{
    auto& node = session.server->node;
    ++node.statements;
    std::istringstream words { text };
    std::string verb;
    std::string item;
    std::string value;
    words >> verb >> item >> value;
    if (verb == "EXECUTE") {
        const auto shape = session.prepared.find(item);
        if (shape == session.prepared.end())
            return "ERROR NOSTMT no such name\r\n" + ready(session);
        verb = shape->second.first;
        item = value;
        value.clear();
        words >> value;
    }
    std::string rows;
    if (verb == "READ") {
        rows = "ROW " + node.items[item] + "\r\n";
    } else if (verb == "WRITE") {
        if (!node.primary)
            return "ERROR READONLY a replica\r\n" + ready(session);
        session.writes.push_back({ id, item, value });
    }
    if (verb == "COMMIT" || !session.inTransaction)
        this->commit(session);
    return rows + "DONE proof." + id + "\r\n" + ready(session);
}

void LineUpstreams::commit(Session& session)
{
    auto& node = session.server->node;
    session.inTransaction = false;
    if (session.writes.empty())
        return;
    ++node.position;
    for (const auto& [id, item, value] : session.writes) {
        node.items[item] = value;
        this->commits.push_back(id);
    }
    session.writes.clear();
    for (const auto& server : this->servers) {
        auto& other = server->node;
        if (&other == &node || other.primary || !other.running || other.held > node.term)
            continue;
        other.term = node.term;
        other.position = node.position;
        other.items = node.items;
    }
}

} // namespace cyclamendrift
