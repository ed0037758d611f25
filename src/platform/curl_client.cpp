#include <cyclamendrift/platform/curl_client.h>

#include <cyclamendrift/platform/store_error.h>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <new>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr long okStatus = 200;

long millisecondsOf(Duration duration)
{
    return std::max<long>(1, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

struct EasyDeleter {
    void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
};
struct MultiDeleter {
    void operator()(CURLM* handle) const noexcept { curl_multi_cleanup(handle); }
};
struct ListDeleter {
    void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
};

void initialiseCurl()
{
    static const auto result = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (result != CURLE_OK)
        throw StoreError { StoreError::Kind::Unreachable, "libcurl cannot be initialised" };
}

} // namespace

/// One request on its way.
class CurlClient::Transfer {
public:
    Transfer(const asio::any_io_executor& executor, CurlRequest request, const Options& options,
        PieceHandler onPiece)
        : handle(curl_easy_init())
        , request(std::move(request))
        , onPiece(std::move(onPiece))
        , maxAnswerBytes(options.maxAnswerBytes)
        , clock(options.clock)
        , sendBy(options.clock() + this->request.timeout)
        , finished(executor, Instant::max())
    {
        if (!this->handle)
            throw std::bad_alloc {};
        this->headers.reset(curl_slist_append(nullptr, "Expect:"));
        for (const auto& line : this->request.headers)
            curl_slist_append(this->headers.get(), line.c_str());
        if (!this->request.method.empty())
            this->set(CURLOPT_CUSTOMREQUEST, this->request.method.c_str());
        this->set(CURLOPT_HTTPHEADER, this->headers.get());
        this->set(CURLOPT_URL, this->request.url.c_str());
        this->set(CURLOPT_PRIVATE, this);
        this->set(CURLOPT_NOSIGNAL, 1L);
        this->set(CURLOPT_PROTOCOLS_STR, "http,https");
        this->set(CURLOPT_PROXY, "");
        this->set(CURLOPT_TCP_KEEPALIVE, 1L);
        this->set(CURLOPT_TCP_KEEPIDLE, 10L);
        this->set(CURLOPT_TCP_KEEPINTVL, 5L);
        this->set(CURLOPT_CONNECTTIMEOUT_MS, millisecondsOf(options.connectTimeout));
        this->set(CURLOPT_TIMEOUT_MS, millisecondsOf(this->request.timeout));
        this->set(CURLOPT_WRITEFUNCTION, &Transfer::write);
        this->set(CURLOPT_WRITEDATA, this);
        this->set(CURLOPT_PREREQFUNCTION, &Transfer::mayBeSent);
        this->set(CURLOPT_PREREQDATA, this);
        if (options.resetsConnections)
            this->set(CURLOPT_SOCKOPTFUNCTION, &Transfer::resetWhenClosed);
        if (this->request.body) {
            this->outgoing = *std::move(this->request.body);
            this->setBody();
        }
    }

    [[nodiscard]] CURL* get() const noexcept { return this->handle.get(); }

    void finish(CURLcode code)
    {
        this->result = code;
        this->done = true;
        this->finished.cancel();
    }

    [[nodiscard]] asio::awaitable<CurlResponse> wait()
    {
        while (!this->done) {
            const bool limited = this->request.silenceTimeout != Duration {};
            const auto giveUpAt = limited ? this->lastByteAt + this->request.silenceTimeout : Instant::max();
            if (limited && std::chrono::steady_clock::now() >= giveUpAt) {
                this->result = CURLE_OPERATION_TIMEDOUT;
                break;
            }
            this->finished.expires_at(giveUpAt);
            std::error_code cancelled;
            co_await this->finished.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
            if (!this->done && cancelled)
                throw StoreError { StoreError::Kind::NoAnswer, "the call was given up" };
        }
        if (this->result != CURLE_OK)
            this->fail();
        co_return CurlResponse { .status = this->status(), .body = std::move(this->body) };
    }

private:
    template <class Value> void set(CURLoption option, Value value)
    {
        curl_easy_setopt(this->handle.get(), option, value);
    }

    /// When a kept connection dies before an answer, libcurl sends the request again on a new one, also a
    /// POST. A change that had taken effect would be made twice, or its author be told of a conflict with
    /// himself. To send again it must rewind the body first; a body that cannot be rewound turns that into an
    /// error.
    void setBody()
    {
        this->set(CURLOPT_POST, 1L);
        this->set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(this->outgoing.size()));
        this->set(CURLOPT_READFUNCTION, &Transfer::read);
        this->set(CURLOPT_READDATA, this);
        this->set(CURLOPT_SEEKFUNCTION, &Transfer::refuseRewind);
        this->set(CURLOPT_SEEKDATA, this);
    }

    static int resetWhenClosed(void*, curl_socket_t socket, curlsocktype)
    {
        const linger reset { .l_onoff = 1, .l_linger = 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        return CURL_SOCKOPT_OK;
    }

    /// Is called when the connection is there and nothing was sent. libcurl's own timeout does not count time
    /// spent suspended.
    static int mayBeSent(void* data, char*, char*, int, int)
    {
        const auto& self = *static_cast<const Transfer*>(data);
        return self.clock() < self.sendBy ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }

    static std::size_t read(char* buffer, std::size_t size, std::size_t count, void* data)
    {
        auto& self = *static_cast<Transfer*>(data);
        const auto length = std::min(size * count, self.outgoing.size() - self.sent);
        std::copy_n(self.outgoing.data() + self.sent, length, buffer);
        self.sent += length;
        return length;
    }

    static int refuseRewind(void*, curl_off_t, int) { return CURL_SEEKFUNC_FAIL; }

    static std::size_t write(const char* bytes, std::size_t size, std::size_t count, void* data)
    {
        auto& self = *static_cast<Transfer*>(data);
        const auto length = size * count;
        self.lastByteAt = std::chrono::steady_clock::now();
        try {
            if (self.onPiece && self.status() == okStatus) {
                self.onPiece({ bytes, length });
                return length;
            }
            if (self.body.size() + length > self.maxAnswerBytes)
                return 0;
            self.body.append(bytes, length);
            return length;
        } catch (...) {
            // An exception must not pass through libcurl's C code; a count of zero ends the transfer.
            return 0;
        }
    }

    [[nodiscard]] long status() const
    {
        long status = 0;
        curl_easy_getinfo(this->handle.get(), CURLINFO_RESPONSE_CODE, &status);
        return status;
    }

    [[noreturn]] void fail() const
    {
        long requestSize = 0;
        curl_easy_getinfo(this->handle.get(), CURLINFO_REQUEST_SIZE, &requestSize);
        const auto kind = requestSize == 0 ? StoreError::Kind::Unreachable : StoreError::Kind::NoAnswer;
        const auto* reason = this->result == CURLE_ABORTED_BY_CALLBACK
            ? "its time was over before it could be sent"
            : curl_easy_strerror(this->result);
        throw StoreError { kind, reason };
    }

    std::unique_ptr<CURL, EasyDeleter> handle;
    std::unique_ptr<curl_slist, ListDeleter> headers;
    CurlRequest request;
    PieceHandler onPiece;
    std::size_t maxAnswerBytes;
    std::function<Instant()> clock;
    Instant sendBy;
    std::string outgoing;
    std::size_t sent = 0;
    std::string body;
    Instant lastByteAt = std::chrono::steady_clock::now();
    asio::steady_timer finished;
    CURLcode result = CURLE_OK;
    bool done = false;
};

/// libcurl's multi handle with its sockets and its timer on Asio.
class CurlClient::Engine : public std::enable_shared_from_this<Engine> {
public:
    Engine(const asio::any_io_executor& executor, const Options& options)
        : executor(executor)
        , options(options)
        , timer(executor)
        , multi(curl_multi_init())
    {
        if (!this->multi)
            throw std::bad_alloc {};
        curl_multi_setopt(this->multi.get(), CURLMOPT_SOCKETFUNCTION, &Engine::onSocket);
        curl_multi_setopt(this->multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi.get(), CURLMOPT_TIMERFUNCTION, &Engine::onTimer);
        curl_multi_setopt(this->multi.get(), CURLMOPT_TIMERDATA, this);
    }
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    static asio::awaitable<CurlResponse> run(
        std::shared_ptr<Engine> self, CurlRequest request, PieceHandler onPiece)
    {
        Transfer transfer { self->executor, std::move(request), self->options, std::move(onPiece) };
        const Membership membership { *self, transfer };
        co_return co_await transfer.wait();
    }

private:
    /// Keeps a transfer in the multi handle while its coroutine runs.
    class Membership {
    public:
        Membership(Engine& engine, Transfer& transfer)
            : engine(engine)
            , transfer(transfer)
        {
            curl_multi_add_handle(engine.multi.get(), transfer.get());
        }
        ~Membership() { curl_multi_remove_handle(this->engine.multi.get(), this->transfer.get()); }
        Membership(const Membership&) = delete;
        Membership& operator=(const Membership&) = delete;

    private:
        Engine& engine;
        Transfer& transfer;
    };

    /// A socket of libcurl's. Waits are on a duplicate, as libcurl closes its sockets itself; a number that
    /// was given out again meanwhile must not be taken for the old socket.
    struct Watched {
        explicit Watched(const asio::any_io_executor& executor, int descriptor)
            : descriptor(executor, dup(descriptor))
        {
        }
        asio::posix::stream_descriptor descriptor;
        int wanted = 0;
        bool readPending = false;
        bool writePending = false;
    };

    static int onSocket(CURL*, curl_socket_t socket, int what, void* data, void*)
    {
        auto& self = *static_cast<Engine*>(data);
        if (what == CURL_POLL_REMOVE) {
            self.forget(socket);
            return 0;
        }
        auto& watched = self.sockets[socket];
        if (!watched)
            watched = std::make_shared<Watched>(self.executor, socket);
        watched->wanted = what;
        self.wait(socket, watched);
        return 0;
    }

    void forget(curl_socket_t socket)
    {
        const auto found = this->sockets.find(socket);
        if (found == this->sockets.end())
            return;
        // A wait that is under way holds the duplicate, and with it the connection that libcurl closes.
        std::error_code ignored;
        found->second->descriptor.close(ignored);
        this->sockets.erase(found);
    }

    void wait(curl_socket_t socket, const std::shared_ptr<Watched>& watched)
    {
        if ((watched->wanted & CURL_POLL_IN) != 0 && !watched->readPending) {
            watched->readPending = true;
            watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                [weak = this->weak_from_this(), socket, watched](const std::error_code& error) {
                    watched->readPending = false;
                    if (const auto self = weak.lock(); self && !error)
                        self->onReady(socket, watched, CURL_CSELECT_IN);
                });
        }
        if ((watched->wanted & CURL_POLL_OUT) != 0 && !watched->writePending) {
            watched->writePending = true;
            watched->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                [weak = this->weak_from_this(), socket, watched](const std::error_code& error) {
                    watched->writePending = false;
                    if (const auto self = weak.lock(); self && !error)
                        self->onReady(socket, watched, CURL_CSELECT_OUT);
                });
        }
    }

    void onReady(curl_socket_t socket, const std::shared_ptr<Watched>& watched, int readiness)
    {
        const auto isCurrent = [&] {
            const auto found = this->sockets.find(socket);
            return found != this->sockets.end() && found->second == watched;
        };
        if (!isCurrent())
            return;
        this->act(socket, readiness);
        if (isCurrent())
            this->wait(socket, watched);
    }

    static int onTimer(CURLM*, long milliseconds, void* data)
    {
        auto& self = *static_cast<Engine*>(data);
        self.timer.cancel();
        if (milliseconds < 0)
            return 0;
        self.timer.expires_after(std::chrono::milliseconds { milliseconds });
        self.timer.async_wait([weak = self.weak_from_this()](const std::error_code& error) {
            if (const auto engine = weak.lock(); engine && !error)
                engine->act(CURL_SOCKET_TIMEOUT, 0);
        });
        return 0;
    }

    void act(curl_socket_t socket, int readiness)
    {
        int running = 0;
        curl_multi_socket_action(this->multi.get(), socket, readiness, &running);
        int waiting = 0;
        while (const auto* message = curl_multi_info_read(this->multi.get(), &waiting)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            transfer->finish(message->data.result);
        }
    }

    asio::any_io_executor executor;
    Options options;
    asio::steady_timer timer;
    std::map<curl_socket_t, std::shared_ptr<Watched>> sockets;
    std::unique_ptr<CURLM, MultiDeleter> multi;
};

CurlClient::CurlClient(const asio::any_io_executor& executor, const Options& options)
{
    initialiseCurl();
    this->engine = std::make_shared<Engine>(executor, options);
}

asio::awaitable<CurlResponse> CurlClient::perform(CurlRequest request)
{
    return Engine::run(this->engine, std::move(request), {});
}

asio::awaitable<CurlResponse> CurlClient::stream(CurlRequest request, PieceHandler onPiece)
{
    return Engine::run(this->engine, std::move(request), std::move(onPiece));
}

} // namespace cyclamendrift
