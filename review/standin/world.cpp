#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review {

namespace {

constexpr auto heartbeatInterval = 1200ms;
constexpr auto restartDelay = 500ms;

sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void setTimeouts(int descriptor, std::chrono::milliseconds time)
{
    const timeval limit { .tv_sec = time.count() / 1000, .tv_usec = (time.count() % 1000) * 1000 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::uint16_t freePort(const std::string& ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(ip, 0);
    socklen_t size = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error { "no free port at " + ip };
    ::close(descriptor);
    return ntohs(address.sin_port);
}

std::string encode64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8U | (byte < count ? static_cast<unsigned char>(bytes[index + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            text += digit <= count ? digits[group >> (18 - 6 * digit) & 63U] : '=';
    }
    return text;
}

std::string decode64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        int value = -1;
        if (letter >= 'A' && letter <= 'Z')
            value = letter - 'A';
        else if (letter >= 'a' && letter <= 'z')
            value = letter - 'a' + 26;
        else if (letter >= '0' && letter <= '9')
            value = letter - '0' + 52;
        else if (letter == '+')
            value = 62;
        else if (letter == '/')
            value = 63;
        if (value < 0)
            continue;
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

std::string decodePercent(const std::string& text)
{
    std::string plain;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            plain += text[index];
        }
    }
    return plain;
}

std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    const auto from = target.find('?');
    if (from == std::string::npos)
        return query;
    std::istringstream parts { target.substr(from + 1) };
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)]
            = equals == std::string::npos ? "" : decodePercent(part.substr(equals + 1));
    }
    return query;
}

std::string cutWord(std::string& rest)
{
    const auto blank = rest.find(' ');
    auto word = rest.substr(0, blank);
    rest = blank == std::string::npos ? std::string {} : rest.substr(blank + 1);
    return word;
}

} // namespace

Record::Record(const std::string& path)
    : file(path, std::ios::trunc)
{
}

double Record::seconds() const
{
    return std::chrono::duration<double> { Clock::now() - this->start }.count();
}

void Record::line(const std::string& text)
{
    const std::lock_guard guard { this->mutex };
    std::ostringstream line;
    line.setf(std::ios::fixed);
    line.precision(3);
    line << this->seconds() << ' ' << text << '\n';
    this->file << line.str() << std::flush;
}

Listener::Listener(const std::string& ip, std::uint16_t port, Serve serve)
    : serve(std::move(serve))
    , descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(ip, port);
    socklen_t size = sizeof address;
    if (bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0
        || listen(this->descriptor, 256) != 0)
        throw std::runtime_error { "cannot listen at " + ip };
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    this->boundPort = ntohs(address.sin_port);
    this->thread = std::thread { [this] { this->run(); } };
}

Listener::~Listener() { this->close(); }

void Listener::run()
{
    while (!this->closing) {
        const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            std::this_thread::sleep_for(1ms);
            continue;
        }
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard guard { this->mutex };
            this->open.insert(accepted);
        }
        ++this->active;
        std::thread { [this, accepted] {
            try {
                this->serve(accepted);
            } catch (const std::exception&) {
                // A message that cannot be read ends its connection.
            }
            {
                const std::lock_guard guard { this->mutex };
                this->open.erase(accepted);
                ::close(accepted);
            }
            --this->active;
        } }.detach();
    }
}

void Listener::close()
{
    if (this->closing.exchange(true))
        return;
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->thread.join();
    ::close(this->descriptor);
    {
        const std::lock_guard guard { this->mutex };
        for (const int one : this->open)
            ::shutdown(one, SHUT_RDWR);
    }
    while (this->active > 0)
        std::this_thread::sleep_for(1ms);
}

std::optional<std::string> LineStream::line()
{
    auto end = this->received.find("\r\n");
    while (end == std::string::npos) {
        char chunk[16384];
        const auto size = recv(this->descriptor, chunk, sizeof chunk, 0);
        if (size <= 0)
            return std::nullopt;
        this->total += static_cast<std::size_t>(size);
        if (this->bytesPerSecond > 0)
            std::this_thread::sleep_for(std::chrono::duration<double> {
                static_cast<double>(size) / static_cast<double>(this->bytesPerSecond) });
        const auto from = this->received.empty() ? 0 : this->received.size() - 1;
        this->received.append(chunk, static_cast<std::size_t>(size));
        end = this->received.find("\r\n", from);
    }
    auto text = this->received.substr(0, end);
    this->received.erase(0, end + 2);
    return text;
}

bool LineStream::send(const std::string& bytes) { return sendAll(this->descriptor, bytes); }

Store::Store(const std::string& ip)
    : ip(ip)
    , listener(std::make_unique<Listener>(ip, 0, [this](int descriptor) { this->serve(descriptor); }))
{
}

std::string Store::address() const { return this->ip + ':' + std::to_string(this->listener->port()); }

void Store::serve(int descriptor)
{
    std::string received;
    while (!this->stopping) {
        auto end = received.find("\r\n\r\n");
        while (end == std::string::npos) {
            char chunk[16384];
            const auto size = recv(descriptor, chunk, sizeof chunk, 0);
            if (size <= 0)
                return;
            received.append(chunk, static_cast<std::size_t>(size));
            end = received.find("\r\n\r\n");
        }
        std::istringstream head { received.substr(0, end) };
        std::string method;
        std::string target;
        std::string line;
        head >> method >> target;
        std::getline(head, line);
        std::map<std::string, std::string> headers;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                [](unsigned char letter) { return std::tolower(letter); });
            headers[name]
                = colon == std::string::npos ? "" : line.substr(line.find_first_not_of(' ', colon + 1));
        }
        const auto length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
        received.erase(0, end + 4);
        while (received.size() < length) {
            char chunk[16384];
            const auto size = recv(descriptor, chunk, sizeof chunk, 0);
            if (size <= 0)
                return;
            received.append(chunk, static_cast<std::size_t>(size));
        }
        const auto body = received.substr(0, length);
        received.erase(0, length);
        std::this_thread::sleep_for(4ms);
        const auto answer = this->handle(method, target, body, headers);
        if (!sendAll(descriptor,
                "HTTP/1.1 " + std::to_string(answer.status)
                    + " -\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
            return;
    }
}

Store::Answer Store::handle(const std::string& method, const std::string& target, const std::string& body,
    const std::map<std::string, std::string>& headers)
{
    if (this->down)
        return { .status = 503 };
    const auto path = target.substr(0, target.find('?'));
    if (path == "/promotion") {
        const auto header = [&headers](const char* name) {
            const auto found = headers.find(name);
            return found == headers.end() ? std::string {} : found->second;
        };
        return { .status = this->onPromotion(Json::parse(body), header("cyclamendrift-lease-holder"),
                     std::stoull("0" + header("cyclamendrift-fencing-token"))) };
    }
    const auto query = queryOf(target);
    if (path == "/cyclamendrift/kv-watch")
        return this->watch(query);
    const std::lock_guard guard { this->mutex };
    this->expire();
    if (path == "/cyclamendrift/kv-key") {
        const auto found = this->items.find(query.at("key"));
        if (found == this->items.end())
            return { .status = 404 };
        auto item = this->itemOf(found->first, found->second);
        item["storeRevision"] = this->revision;
        return { .body = item.dump() };
    }
    if (path == "/cyclamendrift/kv-range")
        return this->range(query);
    if (path == "/cyclamendrift/kv-txn")
        return this->transaction(Json::parse(body));
    if (path == "/cyclamendrift/kv-lease") {
        const std::chrono::milliseconds time { std::max<std::int64_t>(
            Json::parse(body).at("ttlMs").get<std::int64_t>(), 1000) };
        this->leases[++this->lastLease] = { Clock::now() + time, time };
        return { .body = Json { { "lease", this->lastLease }, { "ttlMs", time.count() } }.dump() };
    }
    const auto id = std::stoull("0" + path.substr(path.rfind('/') + 1));
    const auto lease = this->leases.find(id);
    if (lease == this->leases.end())
        return { .status = 404 };
    if (method == "DELETE") {
        lease->second.first = Clock::now();
        this->expire();
        return { .body = "{}" };
    }
    lease->second.first = Clock::now() + lease->second.second;
    return { .body = Json { { "ttlMs", lease->second.second.count() } }.dump() };
}

Store::Answer Store::range(const std::map<std::string, std::string>& query)
{
    constexpr std::size_t pageItems = 500;
    const auto& prefix = query.at("prefix");
    const auto after = query.contains("after") ? query.at("after") : std::string {};
    Json items = Json::array();
    bool more = false;
    for (auto item = this->items.lower_bound(prefix);
         item != this->items.end() && item->first.starts_with(prefix); ++item) {
        if (item->first <= after)
            continue;
        more = items.size() == pageItems;
        if (more)
            break;
        items.push_back(this->itemOf(item->first, item->second));
    }
    return { .body
        = Json { { "items", items }, { "hasMore", more }, { "storeRevision", this->revision } }.dump() };
}

Store::Answer Store::watch(const std::map<std::string, std::string>& query)
{
    const auto& prefix = query.at("prefix");
    const auto after = std::stoull(query.at("after"));
    const auto until = Clock::now() + std::chrono::milliseconds { std::stoll(query.at("waitMs")) };
    std::unique_lock guard { this->mutex };
    while (true) {
        this->expire();
        Json events = Json::array();
        for (const auto& event : this->history) {
            if (event.revision <= after || !event.key.starts_with(prefix))
                continue;
            events.push_back(event.item
                    ? this->itemOf(event.key, *event.item)
                    : Json { { "key", event.key }, { "rev", event.revision }, { "tombstone", true } });
        }
        if (!events.empty() || Clock::now() >= until || this->stopping)
            return { .body = Json { { "events", events }, { "storeRevision", this->revision } }.dump() };
        this->changed.wait_until(guard, std::min(until, Clock::now() + 200ms));
    }
}

Store::Answer Store::transaction(const Json& body)
{
    Json current = Json::array();
    bool holds = true;
    for (const auto& row : body.at("precondition")) {
        const auto found = this->items.find(row.at("key"));
        const std::uint64_t revision = found == this->items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("rev").get<std::uint64_t>();
        if (found != this->items.end())
            current.push_back(this->itemOf(found->first, found->second));
    }
    if (!holds)
        return { .status = 412, .body = Json { { "items", current } }.dump() };
    const auto setKeys = body.value("setKeys", Json::array());
    for (const auto& row : setKeys) {
        const auto lease = row.value("lease", std::uint64_t { 0 });
        if (lease != 0 && !this->leases.contains(lease))
            return { .status = 404 };
    }
    ++this->revision;
    for (const auto& row : setKeys)
        this->set(row.at("key"), decode64(row.at("value")), row.value("lease", std::uint64_t { 0 }));
    for (const auto& key : body.value("deleteKeys", Json::array()))
        this->remove(key);
    this->changed.notify_all();
    return { .body = Json { { "rev", this->revision } }.dump() };
}

Json Store::itemOf(const std::string& key, const Item& item) const
{
    return { { "key", key }, { "value", encode64(item.value) }, { "rev", item.revision },
        { "created", item.created }, { "lease", item.lease } };
}

void Store::set(const std::string& key, const std::string& value, std::uint64_t lease)
{
    auto& item = this->items[key];
    item.created = item.created == 0 ? this->revision : item.created;
    item.value = value;
    item.revision = this->revision;
    item.lease = lease;
    this->history.push_back({ .key = key, .revision = this->revision, .item = item });
}

void Store::remove(const std::string& key)
{
    if (this->items.erase(key) > 0)
        this->history.push_back({ .key = key, .revision = this->revision });
}

void Store::expire()
{
    const auto now = Clock::now();
    std::set<std::uint64_t> ended;
    std::erase_if(this->leases, [&](const auto& lease) {
        if (lease.second.first > now)
            return false;
        ended.insert(lease.first);
        return true;
    });
    if (ended.empty())
        return;
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
        if (ended.contains(item.lease))
            keys.push_back(key);
    }
    for (const auto& key : keys) {
        ++this->revision;
        this->remove(key);
    }
    this->changed.notify_all();
}

std::uint64_t Store::put(const std::string& key, const std::string& value, std::uint64_t lease)
{
    const std::lock_guard guard { this->mutex };
    ++this->revision;
    this->set(key, value, lease);
    this->changed.notify_all();
    return this->revision;
}

void Store::erase(const std::string& key)
{
    const std::lock_guard guard { this->mutex };
    ++this->revision;
    this->remove(key);
    this->changed.notify_all();
}

Service::Service(const std::string& ip, std::string name, Store& store, std::size_t maxConnections)
    : ip(ip)
    , serviceName(std::move(name))
    , store(store)
    , maxConnections(maxConnections)
{
    static const char* zones[] = { "bkk-a", "bkk-b", "nonthaburi" };
    for (std::size_t index = 0; index < 3; ++index) {
        auto database = std::make_unique<Database>();
        database->id = "i-" + this->serviceName + "-" + std::to_string(index);
        database->zone = zones[index];
        database->primary = index == 0;
        auto& served = *database;
        this->databases.push_back(std::move(database));
        served.listener = std::make_unique<Listener>(
            ip, 0, [this, &served](int descriptor) { this->serve(served, descriptor); });
    }
    this->heartbeat();
}

Service::~Service()
{
    for (auto& database : this->databases)
        database->listener->close();
}

void Service::heartbeat()
{
    const std::lock_guard guard { this->mutex };
    for (auto& database : this->databases) {
        const Json entry { { "service", this->serviceName },
            { "address", this->ip + ':' + std::to_string(database->listener->port()) },
            { "zone", database->zone }, { "version", "v1" }, { "slots", 5 }, { "state", "ready" },
            { "coldLeftMs", 0 }, { "dbRole", database->primary ? "primary" : "replica" },
            { "seq", ++database->sequence } };
        this->store.put("servers/" + database->id, entry.dump());
    }
}

int Service::promote(const std::string& id)
{
    const std::lock_guard guard { this->mutex };
    std::uint64_t newest = 0;
    for (const auto& database : this->databases)
        newest = std::max(newest, database->term);
    for (auto& database : this->databases) {
        if (database->id != id)
            continue;
        if (!database->primary) {
            database->primary = true;
            database->term = newest + 1;
            database->heldTerm = 0;
        }
        return 200;
    }
    return 409;
}

std::vector<Run> Service::runs()
{
    const std::lock_guard guard { this->mutex };
    return this->ran;
}

std::string Service::valueOf(const std::string& item)
{
    const std::lock_guard guard { this->mutex };
    for (const auto& database : this->databases) {
        if (database->primary)
            return database->values[item];
    }
    return {};
}

std::string Service::ready(const Database& database, const Session& session) const
{
    return std::string { "READY " } + session.state + ' ' + std::to_string(database.term) + '.'
        + std::to_string(database.position) + "\r\n";
}

void Service::serve(Database& database, int descriptor)
{
    LineStream stream { descriptor };
    Session session;
    const auto start = stream.line();
    if (!start)
        return;
    std::istringstream words { *start };
    std::string word;
    std::string name;
    std::string id;
    words >> word >> name >> session.tenant >> id;
    std::this_thread::sleep_for(12ms);
    std::string greeting;
    {
        const std::lock_guard guard { this->mutex };
        if (word != "START" || name != this->serviceName || (!id.empty() && id != database.id))
            greeting = "ERROR WRONGNODE " + database.id + "\r\n";
        else if (database.connections >= this->maxConnections)
            greeting = "ERROR TOOMANY " + database.id + "\r\n";
        else
            ++database.connections;
    }
    if (!greeting.empty()) {
        stream.send(greeting);
        return;
    }
    {
        const std::lock_guard guard { this->mutex };
        greeting = this->ready(database, session);
    }
    bool open = stream.send(greeting);
    while (open) {
        const auto line = stream.line();
        if (!line || *line == "TERMINATE")
            break;
        auto rest = *line;
        const auto kind = cutWord(rest);
        const auto query = cutWord(rest);
        if (kind != "QUERY" || query.empty() || rest.empty())
            break;
        // Reads, writes and commits take about the work that the sheet gives, 11 to 55 ms.
        if (query != "-")
            std::this_thread::sleep_for(30ms);
        std::string answer;
        {
            const std::lock_guard guard { this->mutex };
            answer = this->answer(database, session, query, rest);
        }
        open = stream.send(answer);
    }
    const std::lock_guard guard { this->mutex };
    --database.connections;
}

std::string Service::status(const Database& database) const
{
    return std::string { "ROW " } + (database.primary ? "primary " : "replica ")
        + std::to_string(database.term) + ' ' + std::to_string(database.term) + '.'
        + std::to_string(database.position) + ' ' + std::to_string(database.heldTerm) + " 0 0 "
        + std::to_string(database.connections) + "\r\nDONE -\r\n";
}

std::string Service::answer(Database& database, Session& session, const std::string& id, std::string text)
{
    const std::string done = "DONE -\r\n";
    const auto fail = [&](const std::string& code) {
        if (session.state == 'T')
            session.state = 'E';
        return "ERROR " + code + ' ' + database.id + "\r\n" + this->ready(database, session);
    };
    const auto original = text;
    if (text.starts_with("AFTER ")) {
        cutWord(text);
        const auto position = cutWord(text);
        const auto dot = position.find('.');
        using Position = std::pair<std::uint64_t, std::uint64_t>;
        const Position wanted { std::stoull(position.substr(0, dot)), std::stoull(position.substr(dot + 1)) };
        if (Position { database.term, database.position } < wanted)
            return fail("LAGGING");
    }
    if (session.state == 'E' && text != "ROLLBACK" && text != "COMMIT")
        return fail("MALFORMED");
    if (text == "STATUS")
        return this->status(database) + this->ready(database, session);
    if (text == "RESUME" || text.starts_with("PAUSE ") || text.starts_with("DEMOTE ")) {
        auto rest = text;
        const auto order = cutWord(rest);
        const auto term = rest.empty() ? 0 : std::stoull(rest);
        if (order == "RESUME")
            database.heldTerm = 0;
        if (order == "PAUSE" && !database.primary && term > database.term)
            database.heldTerm = term;
        if (order == "DEMOTE" && term > database.term)
            database.primary = false;
        return this->status(database) + this->ready(database, session);
    }
    if (text == "BEGIN" || text == "BEGIN READ") {
        if (text == "BEGIN" && !database.primary)
            return fail("READONLY");
        session.state = 'T';
        session.readOnly = text != "BEGIN";
        return done + this->ready(database, session);
    }
    if (text == "ROLLBACK") {
        session.state = 'I';
        session.writes.clear();
        return done + this->ready(database, session);
    }
    if (text == "RESET") {
        session.prepared.clear();
        return done + this->ready(database, session);
    }
    if (text.starts_with("SET "))
        return done + this->ready(database, session);
    if (text.starts_with("PREPARE ")) {
        auto rest = text;
        cutWord(rest);
        const auto name = cutWord(rest);
        const auto kind = cutWord(rest);
        session.prepared[name] = { kind, rest };
        return done + this->ready(database, session);
    }
    return this->data(database, session, id, text, original);
}

std::string Service::data(
    Database& database, Session& session, const std::string& id, const std::string& text, const std::string&)
{
    auto rest = text;
    auto verb = cutWord(rest);
    if (verb == "EXECUTE") {
        const auto found = session.prepared.find(cutWord(rest));
        if (found == session.prepared.end())
            return "ERROR NOSTMT -\r\n" + this->ready(database, session);
        verb = found->second.first;
    }
    const auto readOnly = "ERROR READONLY " + database.id + "\r\n";
    std::string rows;
    if (verb == "READ") {
        const bool large = rest == largeItem;
        for (std::size_t row = 0; row < (large ? largeItemRows : 1); ++row)
            rows += "ROW " + (large ? std::string(largeRowBytes, 'v') : database.values[rest]) + "\r\n";
    } else if (verb == "WRITE") {
        if (!database.primary || session.readOnly) {
            session.state = session.state == 'T' ? 'E' : session.state;
            return readOnly + this->ready(database, session);
        }
        const auto item = cutWord(rest);
        session.writes.emplace_back(item, rest);
    } else if (verb == "COMMIT") {
        const bool failed = session.state == 'E';
        if (failed || (!database.primary && !session.writes.empty())) {
            session.state = 'I';
            session.writes.clear();
            return (failed ? "ERROR ABORTED " + database.id + "\r\n" : readOnly)
                + this->ready(database, session);
        }
        session.state = 'I';
    } else {
        return "ERROR MALFORMED " + database.id + "\r\n" + this->ready(database, session);
    }
    this->ran.push_back({ .id = id, .text = text, .tenant = session.tenant, .database = database.id });
    if (session.state == 'I')
        this->commit(database, session);
    return rows + "DONE sig." + database.id + '.' + id + "\r\n" + this->ready(database, session);
}

void Service::commit(Database& database, Session& session)
{
    session.readOnly = false;
    if (session.writes.empty())
        return;
    ++database.position;
    for (const auto& [item, value] : session.writes)
        database.values[item] = value;
    session.writes.clear();
    for (auto& other : this->databases) {
        if (other.get() == &database || other->primary || other->heldTerm > database.term)
            continue;
        other->term = database.term;
        other->position = database.position;
        other->values = database.values;
    }
}

Machine::Machine(Options given, Record& record)
    : options(std::move(given))
    , record(record)
    , front(freePort(options.ip))
    , readiness(freePort(options.ip))
    , internal(freePort(options.ip))
{
    std::ofstream { this->options.folder + '/' + this->options.node + ".toml" } << this->settings();
}

Machine::~Machine() { this->kill(); }

std::string Machine::settings() const
{
    const auto at = [this](std::uint16_t port) { return this->options.ip + ':' + std::to_string(port); };
    const std::map<std::string, std::string> values { { "node", this->options.node },
        { "zone", this->options.zone }, { "ip", this->options.ip }, { "limits.cpuShare", "0.25" },
        { "limits.cores", "1" }, { "limits.linkMbps", "1000.0" }, { "listen.front", at(this->front) },
        { "listen.ready", at(this->readiness) }, { "internalPorts.0", std::to_string(this->internal) },
        { "platform.address", this->options.storeAddress },
        { "cloudApi.address", this->options.storeAddress }, { "bounds.configApplyMs", "3000" },
        { "bounds.maxSkewMs", "12000" }, { "bounds.graceS", "6" },
        { "contracts|json",
            R"(["base","drain","config","cost","recover","sql","tenants","quota","platform"])" } };
    std::ifstream file { this->options.templatePath };
    std::string text { std::istreambuf_iterator<char> { file }, {} };
    for (auto from = text.find("{{"); from != std::string::npos; from = text.find("{{", from)) {
        const auto end = text.find("}}", from);
        const auto value = values.find(text.substr(from + 2, end - from - 2));
        if (value == values.end())
            throw std::runtime_error { "the template names " + text.substr(from, end - from) };
        text.replace(from, end + 2 - from, value->second);
    }
    return text;
}

void Machine::start()
{
    const auto log = this->options.folder + '/' + this->options.node + ".log";
    pid_t started = 0;
    posix_spawn_file_actions_t actions {};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::string words[]
        = { this->options.program, "--config", this->options.folder + '/' + this->options.node + ".toml" };
    char* arguments[] = { words[0].data(), words[1].data(), words[2].data(), nullptr };
    if (posix_spawn(&started, words[0].c_str(), &actions, nullptr, arguments, environ) != 0)
        started = 0;
    this->process = started;
    posix_spawn_file_actions_destroy(&actions);
    this->startAt.reset();
    this->record.line(this->options.node + " process started");
}

std::size_t Machine::residentMegabytes() const
{
    std::ifstream file { "/proc/" + std::to_string(this->process) + "/statm" };
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) >> 20U;
}

void Machine::check()
{
    if (this->process != 0 && this->residentMegabytes() > this->options.memoryMegabytes) {
        this->record.line(this->options.node + " exceeds its memory of "
            + std::to_string(this->options.memoryMegabytes) + " MB and is killed by the platform");
        ::kill(this->process, SIGKILL);
    }
    int how = 0;
    if (this->process != 0 && waitpid(this->process, &how, WNOHANG) == this->process) {
        this->process = 0;
        if (this->stopped) {
            this->record.line(this->options.node + " process ended after SIGTERM, exit "
                + std::to_string(WEXITSTATUS(how)));
            this->ready = false;
            return;
        }
        ++this->ends;
        this->startAt = Clock::now() + restartDelay;
        this->record.line(this->options.node + " process ended by itself, "
            + (WIFSIGNALED(how) ? "signal " + std::to_string(WTERMSIG(how))
                                : "exit " + std::to_string(WEXITSTATUS(how)))
            + ", number " + std::to_string(this->ends));
    }
    if (this->process == 0 && this->startAt && Clock::now() >= *this->startAt)
        this->start();
    if (this->process != 0 && this->askReadiness()) {
        this->misses = 0;
        if (!this->ready.exchange(true))
            this->record.line(this->options.node + " ready");
    } else if (++this->misses >= 2 && this->ready.exchange(false)) {
        this->record.line(this->options.node + " out of rotation");
    }
}

bool Machine::askReadiness() const
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setTimeouts(descriptor, 500ms);
    const auto address = addressOf(this->options.ip, this->readiness);
    bool good = connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
        && sendAll(descriptor,
            "GET /cyclamendrift/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
    char answer[64] = {};
    good = good && recv(descriptor, answer, sizeof answer - 1, 0) > 0
        && std::string { answer }.find(" 200 ") != std::string::npos;
    ::close(descriptor);
    return good;
}

void Machine::terminate()
{
    if (this->process == 0)
        return;
    this->stopped = true;
    this->record.line(this->options.node + " gets SIGTERM");
    ::kill(this->process, SIGTERM);
}

void Machine::kill()
{
    if (this->process == 0)
        return;
    ::kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
    this->process = 0;
}

Client::Client(const std::string& ip, std::uint16_t port, const std::string& database, const std::string& key,
    std::size_t bytesPerSecond)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , stream(descriptor, bytesPerSecond)
{
    setTimeouts(this->descriptor, 3000ms);
    if (bytesPerSecond > 0) {
        // Segments and windows of an ordinary network instead of those of loopback.
        const int segment = 1400;
        const int window = 32768;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    }
    const auto address = addressOf(ip, port);
    this->open = connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0
        && this->stream.send("START " + database + ' ' + key + "\r\n");
    const auto greeting = this->open ? this->stream.line() : std::nullopt;
    this->open = greeting && greeting->starts_with("READY");
}

Client::~Client() { ::close(this->descriptor); }

Client::Answer Client::run(const std::string& id, const std::string& text)
{
    if (!this->stream.send("QUERY " + id + ' ' + text + "\r\n")) {
        this->open = false;
        return {};
    }
    return this->read();
}

Client::Answer Client::read()
{
    Answer answer;
    while (true) {
        const auto line = this->stream.line();
        if (!line) {
            this->open = false;
            return answer;
        }
        auto rest = *line;
        const auto word = cutWord(rest);
        if (word == "ROW")
            answer.rows.push_back(rest);
        else if (word == "DONE")
            answer.signature = rest;
        else if (word == "ERROR")
            answer.error = rest;
        if (word != "READY")
            continue;
        answer.complete = true;
        answer.state = rest.empty() ? 'E' : rest[0];
        return answer;
    }
}

void Client::terminate()
{
    this->stream.send("TERMINATE\r\n");
    this->open = false;
}

World::World(
    const std::string& program, const std::string& templatePath, const std::string& folder, Record& record)
    : folder(folder)
    , record(record)
{
    std::random_device source;
    // Every machine has a loopback address of its own, as the template gives all machines the same port for
    // metrics.
    const auto network
        = "127." + std::to_string(1 + source() % 250) + '.' + std::to_string(1 + source() % 250) + '.';
    this->ip = network + "1";
    this->idSeed = (std::uint64_t { source() } << 32U) | source();
    this->store = std::make_unique<Store>(this->ip);
    for (int tenant = 0; tenant < 4; ++tenant)
        this->tenants.emplace_back("tenant" + std::to_string(tenant), "key" + std::to_string(source()));
    for (int service = 0; service < 3; ++service)
        this->services.push_back(
            std::make_unique<Service>(this->ip, "ledger" + std::to_string(service), *this->store, 32));
    this->store->onPromotion = [this](const Json& body, const std::string& holder, std::uint64_t token) {
        this->record.line("promotion of " + body.at("id").get<std::string>() + " by " + holder + ", token "
            + std::to_string(token));
        for (auto& service : this->services) {
            if (service->name() == body.at("service").get<std::string>())
                return service->promote(body.at("id"));
        }
        return 409;
    };
    this->store->put("op/config", this->configuration());
    static const char* zones[] = { "bkk-a", "bkk-b", "nonthaburi" };
    for (int index = 0; index < 6; ++index)
        this->machines.push_back(std::make_unique<Machine>(
            Machine::Options { .program = program,
                .templatePath = templatePath,
                .folder = folder,
                .node = std::string { "front-" } + zones[index % 3] + '-' + std::to_string(index / 3 + 1),
                .zone = zones[index % 3],
                .ip = network + std::to_string(10 + index),
                .storeAddress = this->store->address() },
            record));
}

World::~World()
{
    this->stopping = true;
    for (auto& thread : this->threads)
        thread.join();
    this->machines.clear();
    this->services.clear();
}

std::string World::configuration() const
{
    Json routes = Json::array();
    const auto add = [&routes](const std::string& host, const std::string& service, const char* kind,
                         int timeoutMs, int targetLatencyMs, int maxStalenessMs) {
        Json route { { "name", "r-" + host }, { "host", host }, { "prefix", "/" }, { "kind", kind },
            { "timeoutMs", timeoutMs }, { "targetLatencyMs", targetLatencyMs }, { "priority", 1 },
            { "service", service }, { "maxAttempts", 2 }, { "public", false } };
        if (maxStalenessMs > 0)
            route["maxStalenessMs"] = maxStalenessMs;
        routes.push_back(route);
    };
    Json listed = Json::array();
    for (const auto& service : this->services) {
        const auto& name = service->name();
        add("sale-" + name, name, "primary", 1000, 200, 0);
        add("view-" + name, name, "bounded_staleness", 2000, 800, 1500);
        add("redeem-" + name, name, "read_own_writes", 1000, 400, 2500);
        listed.push_back({ { "name", name }, { "healthPath", "/health" }, { "maxConns", 32 },
            { "protocol", "h1" }, { "tls", false }, { "syncReplicas", 0 } });
    }
    Json teams = Json::array();
    for (const auto& [name, key] : this->tenants)
        teams.push_back({ { "name", name }, { "apiKeys", { key } }, { "priority", 1 }, { "ratePerS", 500 },
            { "burst", 500 } });
    return Json {
        { "version", 7 }, { "routes", routes }, { "services", listed },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 }, { "txnIdleMs", 3000 } } },
        { "tenants", teams }
    }.dump();
}

bool World::begin()
{
    for (auto& machine : this->machines)
        machine->start();
    this->threads.emplace_back([this] {
        while (!this->stopping) {
            for (auto& service : this->services)
                service->heartbeat();
            std::this_thread::sleep_for(heartbeatInterval);
        }
    });
    this->threads.emplace_back([this] { this->watchMachines(); });
    const auto until = Clock::now() + 20s;
    const auto isReady = [](const auto& machine) { return machine->isReady(); };
    while (!std::all_of(this->machines.begin(), this->machines.end(), isReady)) {
        if (Clock::now() > until)
            return false;
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

void World::watchMachines()
{
    while (!this->stopping) {
        for (auto& machine : this->machines)
            machine->check();
        std::this_thread::sleep_for(200ms);
    }
}

Machine* World::select(std::size_t hash)
{
    std::vector<Machine*> ready;
    for (auto& machine : this->machines) {
        if (machine->isReady())
            ready.push_back(machine.get());
    }
    return ready.empty() ? nullptr : ready[hash % ready.size()];
}

void World::recordRuns()
{
    for (auto& service : this->services) {
        for (const auto& run : service->runs())
            this->record.line(run.database + " ran QUERY " + run.id + ' ' + run.text + " for " + run.tenant);
    }
}

std::string World::newId()
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx",
        static_cast<unsigned long long>(this->idSeed + ++this->lastId * 0x9E3779B97F4A7C15ULL));
    return text;
}

} // namespace review
