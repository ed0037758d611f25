#pragma once

#include "common.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace review {

/// The platform's store, and POST /promotion, over HTTP. It answers after 4 ms.
class Store {
public:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
        Item item;
    };

    explicit Store(const tcp::endpoint& endpoint)
        : acceptor(context, endpoint)
    {
    }

    void start()
    {
        spawn(this->acceptLoop());
        spawn(this->expiryLoop());
    }

    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    /// Writes as the operator or a database does; takes effect at once.
    std::uint64_t put(const std::string& key, const std::string& value, std::uint64_t lease = 0)
    {
        ++this->revision;
        auto& item = this->items[key];
        if (item.created == 0)
            item.created = this->revision;
        item.value = value;
        item.revision = this->revision;
        item.lease = lease;
        this->announce({ .key = key, .revision = this->revision, .item = item });
        return this->revision;
    }

    void erase(const std::string& key)
    {
        if (this->items.erase(key) == 0)
            return;
        ++this->revision;
        this->announce({ .key = key, .revision = this->revision, .deleted = true });
    }

    /// Called with service, id, holder and token; returns the HTTP status.
    std::function<int(const std::string&, const std::string&, const std::string&, const std::string&)> onPromotion;

private:
    struct Request {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::map<std::string, std::string> headers;
        std::string body;
    };
    struct Response {
        int status = 200;
        Json body = Json::object();
    };

    static std::string base64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t group = 0;
            for (std::size_t index = 0; index < 3; ++index)
                group = group << 8
                    | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
            for (std::size_t index = 0; index < 4; ++index)
                text += at + index <= bytes.size() ? digits[group >> (18 - 6 * index) & 63] : '=';
        }
        return text;
    }

    static std::string fromBase64(const std::string& text)
    {
        std::string bytes;
        std::uint32_t group = 0;
        int bits = 0;
        for (const char letter : text) {
            int digit = -1;
            if (letter >= 'A' && letter <= 'Z')
                digit = letter - 'A';
            else if (letter >= 'a' && letter <= 'z')
                digit = letter - 'a' + 26;
            else if (letter >= '0' && letter <= '9')
                digit = letter - '0' + 52;
            else if (letter == '+')
                digit = 62;
            else if (letter == '/')
                digit = 63;
            if (digit < 0)
                continue;
            group = group << 6 | static_cast<std::uint32_t>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>(group >> bits & 255);
            }
        }
        return bytes;
    }

    static std::string unescape(const std::string& text)
    {
        std::string plain;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                plain += text[at];
            }
        }
        return plain;
    }

    static Json jsonOf(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", base64(item.value) }, { "rev", item.revision },
            { "created", item.created }, { "lease", item.lease } };
    }

    void announce(Event event)
    {
        this->history.push_back(std::move(event));
        for (auto& timer : this->watchers)
            timer->cancel();
    }

    awaitable<void> acceptLoop()
    {
        while (true) {
            auto socket = co_await this->acceptor.async_accept(use_awaitable);
            spawn(this->serve(std::move(socket)));
        }
    }

    awaitable<void> expiryLoop()
    {
        while (true) {
            co_await sleepMs(20);
            std::vector<std::uint64_t> ended;
            for (const auto& [lease, entry] : this->leases) {
                if (Clock::now() >= entry.second)
                    ended.push_back(lease);
            }
            for (const auto lease : ended)
                this->endLease(lease);
        }
    }

    void endLease(std::uint64_t lease)
    {
        this->leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, item] : this->items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            this->erase(key);
    }

    awaitable<void> serve(tcp::socket socket)
    {
        std::string buffer;
        asio::error_code error;
        socket.set_option(tcp::no_delay { true }, error);
        while (true) {
            const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            auto request = parse(buffer.substr(0, size));
            buffer.erase(0, size);
            const auto length = request.headers.contains("content-length")
                ? std::stoull(request.headers["content-length"])
                : 0ULL;
            if (buffer.size() < length)
                co_await asio::async_read(socket, asio::dynamic_buffer(buffer),
                    asio::transfer_exactly(length - buffer.size()), asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            request.body = buffer.substr(0, length);
            buffer.erase(0, length);
            co_await sleepMs(4);
            Response response;
            if (request.path == "/cyclamendrift/kv-watch")
                response = co_await this->watch(request);
            else
                response = this->answer(request);
            const auto body = response.body.dump();
            const auto text = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
            co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
        }
    }

    static Request parse(const std::string& head)
    {
        Request request;
        const auto lineEnd = head.find("\r\n");
        const auto line = head.substr(0, lineEnd);
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        request.method = line.substr(0, first);
        const auto target = line.substr(first + 1, second - first - 1);
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        for (auto rest = mark == std::string::npos ? std::string {} : target.substr(mark + 1); !rest.empty();) {
            const auto end = rest.find('&');
            const auto pair = rest.substr(0, end);
            const auto equals = pair.find('=');
            request.query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
            rest = end == std::string::npos ? std::string {} : rest.substr(end + 1);
        }
        for (auto at = lineEnd + 2; at < head.size();) {
            const auto end = head.find("\r\n", at);
            if (end == std::string::npos || end == at)
                break;
            const auto colon = head.find(':', at);
            auto name = head.substr(at, colon - at);
            for (auto& letter : name)
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            auto from = colon + 1;
            while (from < end && head[from] == ' ')
                ++from;
            request.headers[name] = head.substr(from, end - from);
            at = end + 2;
        }
        return request;
    }

    awaitable<Response> watch(Request& request)
    {
        const auto after = std::stoull(request.query["after"]);
        const auto prefix = request.query["prefix"];
        const auto until = Clock::now() + std::chrono::milliseconds { std::stoll(request.query["waitMs"]) };
        Json events = Json::array();
        while (true) {
            for (const auto& event : this->history) {
                if (event.revision <= after || !event.key.starts_with(prefix))
                    continue;
                if (event.deleted)
                    events.push_back({ { "key", event.key }, { "rev", event.revision }, { "tombstone", true } });
                else
                    events.push_back(jsonOf(event.key, event.item));
            }
            if (!events.empty() || Clock::now() >= until)
                break;
            const auto timer = std::make_shared<asio::steady_timer>(context, until);
            this->watchers.insert(timer);
            asio::error_code ignored;
            co_await timer->async_wait(asio::redirect_error(use_awaitable, ignored));
            this->watchers.erase(timer);
        }
        co_return Response { .body = { { "events", events }, { "storeRevision", this->revision } } };
    }

    Response answer(Request& request)
    {
        const std::string root = "/cyclamendrift/";
        if (request.method == "POST" && request.path == "/promotion") {
            const auto json = Json::parse(request.body);
            return { .status = this->onPromotion(json.at("service"), json.at("id"),
                         request.headers["cyclamendrift-lease-holder"],
                         request.headers["cyclamendrift-fencing-token"]) };
        }
        const auto call = request.path.starts_with(root) ? request.path.substr(root.size()) : std::string {};
        if (call == "kv-key") {
            const auto found = this->items.find(request.query["key"]);
            if (found == this->items.end())
                return { .status = 404 };
            auto json = jsonOf(found->first, found->second);
            json["storeRevision"] = this->revision;
            return { .body = json };
        }
        if (call == "kv-range")
            return this->range(request);
        if (call == "kv-txn")
            return this->transaction(Json::parse(request.body));
        if (call == "kv-lease") {
            const auto ttl = Json::parse(request.body).at("ttlMs").get<std::int64_t>();
            const auto lease = ++this->lastLease;
            const std::chrono::milliseconds time { ttl };
            this->leases[lease] = { time, Clock::now() + time };
            return { .body = { { "lease", lease }, { "ttlMs", ttl } } };
        }
        const auto slash = call.rfind('/');
        const auto lease = slash == std::string::npos ? 0ULL : std::stoull(call.substr(slash + 1));
        const auto found = this->leases.find(lease);
        if (found == this->leases.end())
            return { .status = 404 };
        if (call.starts_with("kv-lease-end/")) {
            this->endLease(lease);
            return {};
        }
        found->second.second = Clock::now() + found->second.first;
        return { .body = { { "ttlMs", found->second.first.count() } } };
    }

    Response range(Request& request)
    {
        constexpr std::size_t pageItems = 500;
        Json page = Json::array();
        bool more = false;
        for (const auto& [key, item] : this->items) {
            if (!key.starts_with(request.query["prefix"]) || key <= request.query["after"])
                continue;
            more = page.size() == pageItems;
            if (more)
                break;
            page.push_back(jsonOf(key, item));
        }
        return { .body = { { "items", page }, { "hasMore", more }, { "storeRevision", this->revision } } };
    }

    Response transaction(const Json& json)
    {
        Json conflicting = Json::array();
        bool holds = true;
        for (const auto& row : json.at("precondition")) {
            const auto found = this->items.find(row.at("key").get<std::string>());
            const auto current = found == this->items.end() ? 0 : found->second.revision;
            holds = holds && current == row.at("rev").get<std::uint64_t>();
            if (found != this->items.end())
                conflicting.push_back(jsonOf(found->first, found->second));
        }
        if (!holds)
            return { .status = 412, .body = { { "items", conflicting } } };
        for (const auto& item : json.value("setKeys", Json::array())) {
            const auto lease = item.value("lease", std::uint64_t { 0 });
            if (lease != 0 && !this->leases.contains(lease))
                return { .status = 404 };
            const auto key = item.at("key").get<std::string>();
            if (key.starts_with("op/") || key.starts_with("servers/"))
                return { .status = 403 };
        }
        for (const auto& item : json.value("setKeys", Json::array()))
            this->put(item.at("key"), fromBase64(item.at("value")), item.value("lease", std::uint64_t { 0 }));
        for (const auto& key : json.value("deleteKeys", Json::array()))
            this->erase(key);
        return { .body = { { "rev", this->revision } } };
    }

    tcp::acceptor acceptor;
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::uint64_t revision = 100;
    std::uint64_t lastLease = 5000;
    std::map<std::uint64_t, std::pair<std::chrono::milliseconds, Clock::time_point>> leases;
    std::set<std::shared_ptr<asio::steady_timer>> watchers;
};

} // namespace review
