#include "answering_socket.h"

#include <cyclamendrift/callers/error_response.h>
#include <cyclamendrift/core/request_error.h>

#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>

namespace cyclamendrift {

namespace {

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int contentTooLarge = 413;
constexpr int uriTooLong = 414;
constexpr int headersTooLarge = 431;

constexpr auto lingerTime = std::chrono::seconds { 1 };
constexpr std::size_t maxLingering = 256;

struct Refusal {
    int status = badRequest;
    std::string_view statusText;
    std::string_view message;
};

bool contains(std::string_view text, std::string_view part) noexcept
{
    return text.find(part) != std::string_view::npos;
}

Refusal refusalFor(std::string_view connectionError) noexcept
{
    if (contains(connectionError, "HPE_CB_headers_complete") || contains(connectionError, "HPE_CB_body"))
        return { contentTooLarge, "Content Too Large", "the body is larger than this server accepts" };
    if (contains(connectionError, "HPE_CB_url"))
        return { uriTooLong, "URI Too Long", "the path is longer than this server accepts" };
    if (contains(connectionError, "HPE_CB_header") || contains(connectionError, "HPE_HEADER_OVERFLOW"))
        return { headersTooLarge, "Request Header Fields Too Large",
            "the headers are larger or more than this server accepts" };
    if (contains(connectionError, "read socket error"))
        return { badRequest, "Bad Request", "the request ended before it was whole" };
    return { badRequest, "Bad Request", "the request is not valid HTTP/1.1" };
}

std::string serialize(const Refusal& refusal)
{
    const RequestError error { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::BadRequest,
        .message = std::string { refusal.message } } };
    const auto response = errorResponse(error, { .status = refusal.status });
    std::string text = "HTTP/1.1 " + std::to_string(refusal.status) + ' ';
    text += refusal.statusText;
    text += "\r\nConnection: close\r\nContent-Type: " + response.contentType;
    text += "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return text + response.body;
}

std::atomic<std::size_t>& lingeringSockets() noexcept
{
    static std::atomic<std::size_t> count { 0 };
    return count;
}

/// Reads and drops what still comes in, until the caller closes or the time is over.
class Linger : public std::enable_shared_from_this<Linger> {
public:
    explicit Linger(asio::ip::tcp::socket socket)
        : socket(std::move(socket))
        , timer(this->socket.get_executor(), lingerTime)
    {
        ++lingeringSockets();
    }
    Linger(const Linger&) = delete;
    Linger& operator=(const Linger&) = delete;
    ~Linger() { --lingeringSockets(); }

    void start()
    {
        this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            asio::error_code ignored;
            if (!error)
                self->socket.close(ignored);
        });
        this->readOn();
    }

private:
    void readOn()
    {
        this->socket.async_read_some(asio::buffer(this->dropped),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                if (error)
                    self->timer.cancel();
                else
                    self->readOn();
            });
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 4096> dropped {};
};

} // namespace

std::string& lastConnectionError() noexcept
{
    thread_local std::string text;
    return text;
}

void AnsweringSocket::refuse() noexcept
try {
    const auto connectionError = std::exchange(lastConnectionError(), {});
    const Refusal slow { requestTimeout, "Request Timeout", "the request did not come in whole in time" };
    const auto text = serialize(this->reading ? slow : refusalFor(connectionError));
    asio::error_code error;
    this->Base::cancel(error);
    this->non_blocking(true, error);
    // Nothing was written since the request began, so the send buffer has room for a few hundred bytes.
    this->write_some(asio::buffer(text), error);
    this->lingering = !error && lingeringSockets() < maxLingering;
} catch (...) {
    this->lingering = false;
}

void AnsweringSocket::shutdown(shutdown_type what, asio::error_code& error)
{
    if (std::exchange(this->unanswered, false))
        this->refuse();
    this->Base::shutdown(this->lingering ? shutdown_send : what, error);
}

void AnsweringSocket::close()
{
    asio::error_code ignored;
    if (std::exchange(this->lingering, false))
        std::make_shared<Linger>(asio::ip::tcp::socket { std::move(static_cast<Base&>(*this)) })->start();
    else
        this->Base::close(ignored);
}

} // namespace cyclamendrift
