#include "kv_server.h"

#include <cyclamendrift/core/base64.h>
#include <cyclamendrift/platform/store_error.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/awaitable_operators.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace cyclamendrift {

namespace {

using Json = nlohmann::json;
using standins::HttpRequest;
using standins::HttpResponse;

constexpr unsigned notFound = 404;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;
constexpr unsigned preconditionFailed = 412;
constexpr std::string_view root = "/cyclamendrift/";

std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + '=');
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

Json itemOf(const StoreEntry& entry)
{
    return { { "key", entry.key }, { "value", toBase64(entry.value, Base64Form::Standard) },
        { "rev", entry.revision }, { "created", entry.revision },
        { "lease", static_cast<std::uint64_t>(entry.lease) } };
}

HttpResponse respond(const Json& json, unsigned status = 200)
{
    HttpResponse response;
    response.status = status;
    response.body = json.dump();
    return response;
}

} // namespace

KvServer::KvServer(asio::io_context& context)
    : context(context)
    , memory(context.get_executor())
    , server(context, 0, [this](HttpRequest request) { return this->handle(std::move(request)); })
{
}

void KvServer::put(const std::string& key, const std::string& value)
{
    const auto write = [](KvServer& self, std::string name, std::string text) -> asio::awaitable<void> {
        const auto current = co_await self.memory.get(name);
        SwapOptions swap { .key = name, .expectedRevision = current ? current->revision : 0, .value = text };
        static_cast<void>(co_await self.memory.compareAndSwap(std::move(swap)));
    };
    asio::co_spawn(this->context, write(*this, key, value), asio::detached);
}

void KvServer::remove(const std::string& key)
{
    const auto erase = [](KvServer& self, std::string name) -> asio::awaitable<void> {
        const auto current = co_await self.memory.get(name);
        SwapOptions swap { .key = name, .expectedRevision = current ? current->revision : 0 };
        static_cast<void>(co_await self.memory.compareAndSwap(std::move(swap)));
    };
    asio::co_spawn(this->context, erase(*this, key), asio::detached);
}

asio::awaitable<HttpResponse> KvServer::handle(HttpRequest request)
{
    auto response = co_await this->answer(std::move(request));
    response.bytesPerSecond = this->bytesPerSecond;
    response.stallAfter = this->stallAfter;
    co_return response;
}

asio::awaitable<HttpResponse> KvServer::answer(HttpRequest request)
{
    HttpResponse response;
    if (this->refuseWith != 0) {
        response.status = this->refuseWith;
        co_return response;
    }
    if (request.target == "/promotion") {
        const auto json = Json::parse(request.body);
        const bool running = this->onPromotion && this->onPromotion(json.at("service"), json.at("id"));
        response.status = running ? 200 : conflict;
        co_return response;
    }
    const auto call = request.target.substr(std::min(root.size(), request.target.size()));
    try {
        if (call.starts_with("kv-key"))
            co_return co_await this->key(call);
        if (call.starts_with("kv-range"))
            co_return co_await this->range(call);
        if (call.starts_with("kv-watch"))
            co_return co_await this->watch(call);
        if (call.starts_with("kv-txn"))
            co_return co_await this->transaction(request.body);
        co_return co_await this->lease(request);
    } catch (const StoreError& error) {
        response.drop
            = error.kind() != StoreError::Kind::LeaseGone && error.kind() != StoreError::Kind::Compacted;
        response.status = error.kind() == StoreError::Kind::Compacted ? gone : notFound;
    }
    co_return response;
}

asio::awaitable<HttpResponse> KvServer::key(const std::string& target)
{
    const auto entry = co_await this->memory.get(parameter(target, "key"));
    if (!entry) {
        HttpResponse response;
        response.status = notFound;
        co_return response;
    }
    auto item = itemOf(*entry);
    item["storeRevision"] = this->memory.revision();
    co_return respond(item);
}

asio::awaitable<HttpResponse> KvServer::range(const std::string& target)
{
    // Pages hold two entries, so that callers have to request further ones.
    constexpr std::size_t pageItems = 2;
    const auto prefix = parameter(target, "prefix");
    auto entries = co_await this->memory.list(prefix);
    if (prefix == this->laggingPrefix && parameter(target, "serializable") == "1"
        && this->laggingAnswers > 0) {
        --this->laggingAnswers;
        entries.clear();
    }
    const auto after = parameter(target, "after");
    Json items = Json::array();
    bool more = false;
    for (const auto& entry : entries) {
        if (entry.key <= after)
            continue;
        more = items.size() == pageItems;
        if (more)
            break;
        items.push_back(itemOf(entry));
    }
    Json answer;
    answer["items"] = items;
    answer["hasMore"] = more;
    answer["storeRevision"] = this->memory.revision();
    co_return respond(answer);
}

asio::awaitable<HttpResponse> KvServer::watch(const std::string& target)
{
    using namespace asio::experimental::awaitable_operators;
    this->memory.beginWatch();
    const auto after = std::stoull(parameter(target, "after"));
    // Checked before the wait, because operator|| goes on waiting for the timer when the other operation
    // fails.
    this->memory.requireHistory(after + 1);
    asio::steady_timer timer { this->context,
        std::chrono::milliseconds { std::stoll(parameter(target, "waitMs")) } };
    auto changes = this->memory.nextChanges(parameter(target, "prefix"), after + 1);
    const auto outcome = co_await (std::move(changes) || timer.async_wait(asio::use_awaitable));
    Json events = Json::array();
    // The answer covers all changes so far, including those of other prefixes.
    std::uint64_t revision = this->memory.revision();
    if (outcome.index() == 0) {
        for (const auto& change : std::get<0>(outcome)) {
            Json event { { "key", change.key }, { "rev", change.revision } };
            if (change.value)
                event["value"] = toBase64(*change.value, Base64Form::Standard);
            else
                event["tombstone"] = true;
            events.push_back(event);
        }
    }
    Json answer;
    answer["events"] = events;
    answer["storeRevision"] = revision;
    co_return respond(answer);
}

asio::awaitable<HttpResponse> KvServer::transaction(const std::string& body)
{
    const auto json = Json::parse(body);
    SwapOptions swap;
    const auto& conditions = json.at("precondition");
    swap.key = conditions.at(0).at("key").get<std::string>();
    swap.expectedRevision = conditions.at(0).at("rev").get<std::uint64_t>();
    for (std::size_t index = 1; index < conditions.size(); ++index)
        swap.guards.push_back({ .key = conditions[index].at("key").get<std::string>(),
            .revision = conditions[index].at("rev").get<std::uint64_t>() });
    if (!json.at("setKeys").empty()) {
        const auto& item = json.at("setKeys").at(0);
        swap.value = fromBase64(item.at("value").get<std::string>(), Base64Form::Standard).value();
        swap.lease = LeaseId { item.value("lease", std::uint64_t { 0 }) };
    }
    const auto outcome = co_await this->memory.compareAndSwap(std::move(swap));
    Json answer;
    if (const auto* swapped = std::get_if<Swapped>(&outcome)) {
        answer["rev"] = swapped->revision;
        co_return respond(answer);
    }
    answer["items"] = Json::array();
    if (const auto& current = std::get<SwapConflict>(outcome).current)
        answer["items"].push_back(itemOf(*current));
    co_return respond(answer, preconditionFailed);
}

asio::awaitable<HttpResponse> KvServer::lease(const HttpRequest& request)
{
    const auto id = request.target.substr(request.target.rfind('/') + 1);
    Json answer;
    if (request.target.ends_with("/kv-lease")) {
        const auto time
            = std::chrono::milliseconds { Json::parse(request.body).at("ttlMs").get<std::int64_t>() };
        const auto lease = co_await this->memory.grantLease(time);
        answer["lease"] = static_cast<std::uint64_t>(lease);
        answer["ttlMs"] = time.count();
    } else if (request.method == "DELETE") {
        co_await this->memory.revokeLease(LeaseId { std::stoull(id) });
    } else {
        co_await this->memory.keepAlive(LeaseId { std::stoull(id) });
        answer["ttlMs"] = 0;
    }
    co_return respond(answer);
}

} // namespace cyclamendrift
