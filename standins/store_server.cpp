#include "store_server.h"

#include <cyclamendrift/platform/store_error.h>

#include <etcd.pb.h>
#include <src/platform/json.h>

#include <chrono>
#include <exception>
#include <stdexcept>
#include <utility>

namespace cyclamendrift::standins {

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;

template <class Message> Message parse(const std::string& json)
{
    Message message;
    if (!fromJson(json, message))
        throw std::invalid_argument { "the body cannot be read" };
    return message;
}

HttpResponse respond(const google::protobuf::Message& message)
{
    return { .body = toJson(message), .stream = {} };
}

void fill(wire::EtcdKeyValue& pair, const StoreEntry& entry)
{
    pair.set_key(entry.key);
    pair.set_value(entry.value);
    pair.set_mod_revision(static_cast<std::int64_t>(entry.revision));
}

/// Prefix that a range from a key to an end stands for; both as the gateway's clients write them.
std::string prefixOf(const std::string& key) { return key == std::string(1, '\0') ? std::string {} : key; }

std::string lineOf(const std::vector<StoreChange>& changes)
{
    wire::EtcdWatchLine line;
    for (const auto& change : changes) {
        auto* event = line.mutable_result()->add_events();
        event->set_type(change.value ? wire::EtcdEvent::PUT : wire::EtcdEvent::DELETE);
        event->mutable_kv()->set_key(change.key);
        event->mutable_kv()->set_value(change.value.value_or(""));
        event->mutable_kv()->set_mod_revision(static_cast<std::int64_t>(change.revision));
    }
    return toJson(line) + '\n';
}

asio::awaitable<void> streamChanges(
    MemoryStore& store, HttpStream& stream, std::string prefix, std::uint64_t next)
{
    wire::EtcdWatchLine created;
    created.mutable_result()->set_created(true);
    co_await stream.write(toJson(created) + '\n');
    bool compacted = false;
    while (!compacted) {
        std::vector<StoreChange> changes;
        try {
            changes = co_await store.nextChanges(prefix, next);
        } catch (const StoreError& error) {
            compacted = error.kind() == StoreError::Kind::Compacted;
            if (!compacted)
                throw;
        }
        if (compacted)
            break;
        next = changes.back().revision + 1;
        co_await stream.write(lineOf(changes));
    }
    wire::EtcdWatchLine line;
    line.mutable_result()->set_canceled(true);
    line.mutable_result()->set_compact_revision(static_cast<std::int64_t>(next + 1));
    co_await stream.write(toJson(line) + '\n');
}

} // namespace

StoreServer::StoreServer(asio::io_context& context, std::uint16_t port)
    : memory(context.get_executor())
    , outageTimer(context)
    , server(context, port, [this](HttpRequest request) { return this->handle(std::move(request)); })
{
}

asio::awaitable<HttpResponse> StoreServer::handle(HttpRequest request)
{
    HttpResponse response;
    try {
        response = co_await this->answer(request);
    } catch (const StoreError& error) {
        // A store that is down or loses its answer just closes the connection.
        response.drop = error.kind() != StoreError::Kind::LeaseGone;
        response.status = notFound;
        response.body = R"({"code":5,"message":"etcdserver: requested lease not found"})";
    } catch (const std::exception& error) {
        response.status = badRequest;
        response.body = R"({"code":3,"message":"malformed"})";
    }
    if (request.target.starts_with("/control"))
        co_return response;
    response.cutAfter = std::exchange(this->cutAfter, 0);
    if (!this->replacement.empty())
        response.body = std::exchange(this->replacement, {});
    co_return response;
}

asio::awaitable<HttpResponse> StoreServer::answer(const HttpRequest& request)
{
    if (request.target == "/v3/kv/range")
        return this->range(request);
    if (request.target == "/v3/kv/txn")
        return this->transaction(request);
    if (request.target.starts_with("/v3/lease") || request.target == "/v3/kv/lease/revoke")
        return this->lease(request);
    return [](StoreServer& self, const HttpRequest& request) -> asio::awaitable<HttpResponse> {
        if (request.target == "/v3/watch")
            co_return self.watch(request);
        if (request.target == "/vms")
            co_return HttpResponse { .body = self.vms, .stream = {} };
        co_return self.control(request);
    }(*this, request);
}

asio::awaitable<HttpResponse> StoreServer::range(const HttpRequest& request)
{
    const auto message = parse<wire::EtcdRangeRequest>(request.body);
    wire::EtcdRangeResponse response;
    if (message.range_end().empty()) {
        const auto entry = co_await this->memory.get(message.key());
        if (entry)
            fill(*response.add_kvs(), *entry);
    } else {
        const auto entries = co_await this->memory.list(prefixOf(message.key()));
        for (const auto& entry : entries)
            fill(*response.add_kvs(), entry);
    }
    response.mutable_header()->set_revision(static_cast<std::int64_t>(this->memory.revision()));
    co_return respond(response);
}

asio::awaitable<HttpResponse> StoreServer::transaction(const HttpRequest& request)
{
    const auto message = parse<wire::EtcdTxnRequest>(request.body);
    if (message.compare_size() < 1 || message.success_size() != 1)
        throw std::invalid_argument { "the stand-in takes at least one comparison, and one change" };
    const auto& put = message.success(0).request_put();
    SwapOptions options;
    options.key = message.compare(0).key();
    options.expectedRevision = static_cast<std::uint64_t>(message.compare(0).mod_revision());
    for (int index = 1; index < message.compare_size(); ++index) {
        const auto& compare = message.compare(index);
        options.guards.push_back({ compare.key(), static_cast<std::uint64_t>(compare.mod_revision()) });
    }
    if (message.success(0).has_request_put()) {
        options.value = put.value();
        options.lease = LeaseId { static_cast<std::uint64_t>(put.lease()) };
    }
    const auto outcome = co_await this->memory.compareAndSwap(std::move(options));
    wire::EtcdTxnResponse response;
    response.set_succeeded(std::holds_alternative<Swapped>(outcome));
    response.mutable_header()->set_revision(static_cast<std::int64_t>(this->memory.revision()));
    if (const auto* conflict = std::get_if<SwapConflict>(&outcome)) {
        auto* range = response.add_responses()->mutable_response_range();
        if (conflict->current)
            fill(*range->add_kvs(), *conflict->current);
    }
    co_return respond(response);
}

asio::awaitable<HttpResponse> StoreServer::lease(const HttpRequest& request)
{
    if (request.target.ends_with("/grant")) {
        const auto message = parse<wire::EtcdLeaseGrantRequest>(request.body);
        const auto lease = co_await this->memory.grantLease(std::chrono::seconds { message.ttl() });
        wire::EtcdLeaseGrantResponse response;
        response.set_id(static_cast<std::int64_t>(lease));
        response.set_ttl(message.ttl());
        co_return respond(response);
    }
    const auto message = parse<wire::EtcdLeaseRequest>(request.body);
    const LeaseId lease { static_cast<std::uint64_t>(message.id()) };
    wire::EtcdKeepAliveResponse response;
    response.mutable_result()->set_id(message.id());
    if (request.target.ends_with("/revoke")) {
        co_await this->memory.revokeLease(lease);
        co_return respond(response.result());
    }
    bool gone = false;
    try {
        co_await this->memory.keepAlive(lease);
    } catch (const StoreError& error) {
        gone = error.kind() == StoreError::Kind::LeaseGone;
        if (!gone)
            throw;
    }
    response.mutable_result()->set_ttl(gone ? 0 : 1);
    co_return respond(response);
}

HttpResponse StoreServer::watch(const HttpRequest& request)
{
    const auto message = parse<wire::EtcdWatchRequest>(request.body).create_request();
    this->memory.beginWatch();
    const auto asked = static_cast<std::uint64_t>(message.start_revision());
    const auto from = asked == 0 ? this->memory.revision() + 1 : asked;
    HttpResponse response;
    response.stream = [this, prefix = prefixOf(message.key()), from](
                          HttpStream& stream) { return streamChanges(this->memory, stream, prefix, from); };
    return response;
}

HttpResponse StoreServer::control(const HttpRequest& request)
{
    const auto argument = request.target.substr(request.target.rfind('/') + 1);
    if (request.target == "/control/vms")
        this->vms = request.body;
    else if (request.target.starts_with("/control/outage/"))
        this->outageFor(std::chrono::seconds { std::stoul(argument) });
    else if (request.target.starts_with("/control/slow/"))
        this->memory.slow(std::chrono::milliseconds { std::stoul(argument) });
    else if (request.target.starts_with("/control/lose-answers/"))
        this->memory.loseAnswers(std::stoul(argument));
    else if (request.target != "/control/calls")
        return { .status = notFound, .body = R"({"message":"no such path"})", .stream = {} };
    const auto& calls = this->memory.calls();
    return { .body = R"({"reads":)" + std::to_string(calls.reads) + R"(,"writes":)"
            + std::to_string(calls.writes) + R"(,"watches":)" + std::to_string(calls.watches) + '}',
        .stream = {} };
}

void StoreServer::outageFor(Duration duration)
{
    this->memory.setOutage(true);
    this->outageTimer.expires_after(duration);
    this->outageTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            this->memory.setOutage(false);
    });
}

} // namespace cyclamendrift::standins
