#include "json.h"
#include <cyclamendrift/platform/curl_client.h>

#include <cyclamendrift/platform/etcd_store.h>
#include <cyclamendrift/platform/store_error.h>

#include <etcd.pb.h>

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t { 256 } << 20U;
constexpr long okStatus = 200;
constexpr int notFoundCode = 5;
constexpr int deadlineExceededCode = 4;
constexpr int internalCode = 13;
constexpr int unavailableCode = 14;

/// Whether a call changes the store. What a broken answer says of its effect depends on it.
enum class CallKind : std::uint8_t { Read, Change };

[[noreturn]] void fail(StoreError::Kind kind, const std::string& message)
{
    throw StoreError { kind, message };
}

/// The first key after all that begin with the prefix.
std::string endOfPrefix(std::string prefix)
{
    constexpr char last = '\xff';
    while (!prefix.empty() && prefix.back() == last)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    ++prefix.back();
    return prefix;
}

StoreEntry entryOf(const wire::EtcdKeyValue& pair)
{
    return {
        .key = pair.key(), .value = pair.value(), .revision = static_cast<std::uint64_t>(pair.mod_revision())
    };
}

/// An error that the store answered. "Unavailable" and timeouts are given after a change was handed to its
/// members, which may still apply it; the other refusals come before.
[[noreturn]] void failFrom(const CurlResponse& response, CallKind kind)
{
    wire::EtcdError error;
    const bool readable = fromJson(response.body, error);
    const auto message = "the store answered " + std::to_string(response.status) + ": " + error.message();
    if (readable && error.code() == notFoundCode)
        fail(StoreError::Kind::LeaseGone, message);
    const bool undecided = !readable || error.code() == unavailableCode
        || error.code() == deadlineExceededCode || error.code() == internalCode || error.code() == 0;
    if (kind == CallKind::Change && undecided)
        fail(StoreError::Kind::NoAnswer, message);
    fail(StoreError::Kind::BadAnswer, message);
}

/// An answer to a change that cannot be read says nothing of its effect, so it counts as none.
template <class Answer> Answer parseAnswer(const CurlResponse& response, CallKind kind)
{
    if (response.status != okStatus)
        failFrom(response, kind);
    Answer answer;
    if (!fromJson(response.body, answer)) {
        const bool change = kind == CallKind::Change;
        fail(change ? StoreError::Kind::NoAnswer : StoreError::Kind::BadAnswer,
            "the store's answer cannot be read");
    }
    return answer;
}

wire::EtcdTxnRequest transactionOf(const SwapOptions& options)
{
    wire::EtcdTxnRequest request;
    const auto mustStandAt = [&request](const std::string& key, std::uint64_t revision) {
        auto* compare = request.add_compare();
        compare->set_target(wire::EtcdCompare::MOD);
        compare->set_key(key);
        compare->set_mod_revision(static_cast<std::int64_t>(revision));
    };
    mustStandAt(options.key, options.expectedRevision);
    for (const auto& guard : options.guards)
        mustStandAt(guard.key, guard.revision);
    if (options.value) {
        auto* put = request.add_success()->mutable_request_put();
        put->set_key(options.key);
        put->set_value(*options.value);
        put->set_lease(static_cast<std::int64_t>(options.lease));
    } else {
        request.add_success()->mutable_request_delete_range()->set_key(options.key);
    }
    request.add_failure()->mutable_request_range()->set_key(options.key);
    return request;
}

/// Takes the lines of a watch's stream apart and hands their changes over.
class WatchReader {
public:
    explicit WatchReader(std::function<void(const StoreChange&)> onChange)
        : onChange(std::move(onChange))
    {
    }

    void take(std::string_view piece)
    {
        this->buffer += piece;
        for (auto end = this->buffer.find('\n'); end != std::string::npos; end = this->buffer.find('\n')) {
            this->takeLine(this->buffer.substr(0, end));
            this->buffer.erase(0, end + 1);
        }
        if (this->buffer.size() > maxAnswerBytes)
            fail(StoreError::Kind::BadAnswer, "a line of the watch is too long");
    }

private:
    void takeLine(const std::string& line)
    {
        wire::EtcdWatchLine message;
        if (!fromJson(line, message) || !message.has_result())
            fail(StoreError::Kind::BadAnswer, "a line of the watch cannot be read");
        const auto& result = message.result();
        if (result.compact_revision() > 0)
            fail(StoreError::Kind::Compacted,
                "the store no longer has the revisions that the watch asked for");
        if (result.canceled())
            fail(StoreError::Kind::NoAnswer, "the store ended the watch");
        for (const auto& event : result.events())
            this->handOver(event);
    }

    void handOver(const wire::EtcdEvent& event)
    {
        StoreChange change;
        change.key = event.kv().key();
        change.revision = static_cast<std::uint64_t>(event.kv().mod_revision());
        if (event.type() == wire::EtcdEvent::PUT)
            change.value = event.kv().value();
        this->onChange(change);
    }

    std::function<void(const StoreChange&)> onChange;
    std::string buffer;
};

} // namespace

struct EtcdStore::State {
    State(const asio::any_io_executor& executor, Options options)
        : client(executor, { .connectTimeout = options.connectTimeout, .maxAnswerBytes = maxAnswerBytes })
        , options(std::move(options))
    {
    }

    [[nodiscard]] CurlRequest requestOf(const char* path, const google::protobuf::Message& message) const
    {
        return {
            .url = this->options.url + path, .body = toJson(message), .timeout = this->options.callTimeout
        };
    }

    CurlClient client;
    Options options;
};

EtcdStore::EtcdStore(const asio::any_io_executor& executor, Options options)
    : state(std::make_unique<State>(executor, std::move(options)))
{
}

EtcdStore::~EtcdStore() = default;

asio::awaitable<std::optional<StoreEntry>> EtcdStore::get(std::string key)
{
    wire::EtcdRangeRequest request;
    request.set_key(key);
    const auto response
        = co_await this->state->client.perform(this->state->requestOf("/v3/kv/range", request));
    const auto answer = parseAnswer<wire::EtcdRangeResponse>(response, CallKind::Read);
    if (answer.kvs().empty())
        co_return std::nullopt;
    if (answer.kvs(0).key() != key)
        fail(StoreError::Kind::BadAnswer, "the store answered with another key");
    co_return entryOf(answer.kvs(0));
}

asio::awaitable<std::vector<StoreEntry>> EtcdStore::list(std::string prefix)
{
    wire::EtcdRangeRequest request;
    request.set_key(prefix.empty() ? std::string(1, '\0') : prefix);
    request.set_range_end(endOfPrefix(prefix));
    const auto response
        = co_await this->state->client.perform(this->state->requestOf("/v3/kv/range", request));
    const auto answer = parseAnswer<wire::EtcdRangeResponse>(response, CallKind::Read);
    std::vector<StoreEntry> entries;
    for (const auto& pair : answer.kvs())
        entries.push_back(entryOf(pair));
    co_return entries;
}

asio::awaitable<SwapOutcome> EtcdStore::compareAndSwap(SwapOptions options)
{
    const auto request = transactionOf(options);
    const auto response = co_await this->state->client.perform(this->state->requestOf("/v3/kv/txn", request));
    const auto answer = parseAnswer<wire::EtcdTxnResponse>(response, CallKind::Change);
    if (answer.succeeded()) {
        if (answer.header().revision() <= 0)
            fail(StoreError::Kind::NoAnswer, "the store's answer lacks its revision");
        co_return Swapped { static_cast<std::uint64_t>(answer.header().revision()) };
    }
    SwapConflict conflict;
    if (answer.responses().empty() || !answer.responses(0).has_response_range())
        fail(StoreError::Kind::NoAnswer, "the store's answer lacks what stands under the key");
    const auto& range = answer.responses(0).response_range();
    if (!range.kvs().empty())
        conflict.current = entryOf(range.kvs(0));
    co_return conflict;
}

asio::awaitable<LeaseId> EtcdStore::grantLease(Duration timeToLive)
{
    wire::EtcdLeaseGrantRequest request;
    request.set_ttl(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(timeToLive).count()));
    const auto response
        = co_await this->state->client.perform(this->state->requestOf("/v3/lease/grant", request));
    const auto answer = parseAnswer<wire::EtcdLeaseGrantResponse>(response, CallKind::Change);
    if (answer.id() == 0)
        fail(StoreError::Kind::NoAnswer, "the store's answer lacks the lease");
    co_return LeaseId { static_cast<std::uint64_t>(answer.id()) };
}

asio::awaitable<void> EtcdStore::keepAlive(LeaseId lease)
{
    wire::EtcdLeaseRequest request;
    request.set_id(static_cast<std::int64_t>(lease));
    const auto response
        = co_await this->state->client.perform(this->state->requestOf("/v3/lease/keepalive", request));
    const auto answer = parseAnswer<wire::EtcdKeepAliveResponse>(response, CallKind::Change);
    // The store answers for a lease that has lapsed as for any other, only without time left.
    if (answer.result().ttl() <= 0)
        fail(StoreError::Kind::LeaseGone, "the lease has lapsed");
}

asio::awaitable<void> EtcdStore::revokeLease(LeaseId lease)
{
    wire::EtcdLeaseRequest request;
    request.set_id(static_cast<std::int64_t>(lease));
    const auto response
        = co_await this->state->client.perform(this->state->requestOf("/v3/lease/revoke", request));
    (void)parseAnswer<wire::EtcdLeaseGrantResponse>(response, CallKind::Change);
}

asio::awaitable<void> EtcdStore::watch(
    std::string prefix, std::uint64_t fromRevision, std::function<void(const StoreChange&)> onChange)
{
    wire::EtcdWatchRequest request;
    auto* create = request.mutable_create_request();
    create->set_key(prefix.empty() ? std::string(1, '\0') : prefix);
    create->set_range_end(endOfPrefix(prefix));
    create->set_start_revision(static_cast<std::int64_t>(fromRevision));
    auto call = this->state->requestOf("/v3/watch", request);
    call.timeout = this->state->options.watchTimeout;
    // What goes wrong within a line is kept aside, as it cannot pass through libcurl.
    std::exception_ptr failure;
    WatchReader reader { std::move(onChange) };
    const auto onPiece = [&reader, &failure](std::string_view piece) {
        try {
            reader.take(piece);
        } catch (...) {
            failure = std::current_exception();
            throw;
        }
    };
    CurlResponse response;
    try {
        response = co_await this->state->client.stream(std::move(call), onPiece);
    } catch (const StoreError&) {
        if (!failure)
            throw;
    }
    if (failure)
        std::rethrow_exception(failure);
    if (response.status != okStatus)
        failFrom(response, CallKind::Read);
    fail(StoreError::Kind::NoAnswer, "the store ended the watch");
}

} // namespace cyclamendrift
