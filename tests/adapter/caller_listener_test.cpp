#include "surroundings.h"

#include <platform/caller_listener.h>

#include <cyclamendrift/runtime/descriptor_limit.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace cyclamendrift;

namespace {

/// Greets each caller that starts a session.
class Greeter final : public CallerEvents {
public:
    explicit Greeter(platform::CallerListener& listener)
        : listener(listener)
    {
    }
    void connected(CallerId) override { }
    void started(CallerId caller, SessionStart) override { this->listener.accept(caller); }
    void statementReceived(CallerId, CallerQuery) override { }
    void disconnected(CallerId) override { }

private:
    platform::CallerListener& listener;
};

std::string startAt(asio::ip::tcp::socket& socket, std::uint16_t port)
{
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(socket, asio::buffer(std::string { "START beds k1\r\n" }));
    std::string answer;
    asio::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n", ignored);
    return answer;
}

} // namespace

TEST_SUITE("listener for callers")
{
    TEST_CASE("replies of a closed session count as being sent until the caller has read them")
    {
        // Guards against a stop that cuts answers which a slow caller is still reading.
        asio::io_context context { 1 };
        const ListenSettings listen { .address = "127.0.0.1", .port = freePort() };
        platform::CallerListener listener { context, listen, 1 };
        Greeter greeter { listener };
        listener.listen(greeter);
        asio::ip::tcp::socket caller { context, asio::ip::tcp::v4() };
        constexpr int receiveBufferBytes = 4096;
        caller.set_option(asio::socket_base::receive_buffer_size { receiveBufferBytes });
        caller.connect({ asio::ip::make_address("127.0.0.1"), listen.port });
        asio::write(caller, asio::buffer(std::string { "START beds k1\r\n" }));
        std::string received;
        while (received.empty()) {
            context.run_one();
            if (caller.available() > 0)
                asio::read_until(caller, asio::dynamic_buffer(received), "\r\n");
        }
        // More than the kernel takes for a caller that does not read.
        constexpr std::size_t rowBytes = 3'900'000;
        listener.answer(CallerId { 1 }, Reply { .rows = { std::string(rowBytes, 'r') }, .proof = "p" });
        listener.close(CallerId { 1 }, std::nullopt);
        REQUIRE(listener.isSending());
        received.clear();
        asio::error_code end;
        while (!end) {
            context.poll();
            std::string part(65536, '\0');
            part.resize(caller.read_some(asio::buffer(part), end));
            received += part;
        }
        CHECK(received.size() > rowBytes);
        CHECK(received.ends_with("READY I -\r\n"));
        CHECK_FALSE(listener.isSending());
    }

    TEST_CASE("a caller beyond the limit is told to come back, and one is accepted once another has left")
    {
        // Guards against callers that use up the file descriptors which siblings and the store need.
        asio::io_context context { 1 };
        const ListenSettings listen { .address = "127.0.0.1", .port = freePort() };
        platform::CallerListener listener { context, listen, 1 };
        Greeter greeter { listener };
        listener.listen(greeter);
        std::thread thread { [&context] { context.run(); } };
        asio::io_context own;
        asio::ip::tcp::socket first { own };
        CHECK(startAt(first, listen.port).starts_with("READY"));
        asio::ip::tcp::socket second { own };
        const auto refused = startAt(second, listen.port);
        CHECK(refused.starts_with("ERROR BUSY"));
        CHECK(refused.find("retry after") != std::string::npos);
        first.close();
        std::string answer;
        for (int tries = 0; tries < 200 && !answer.starts_with("READY"); ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
            asio::ip::tcp::socket third { own };
            answer = startAt(third, listen.port);
        }
        CHECK(answer.starts_with("READY"));
        context.stop();
        thread.join();
    }

    TEST_CASE("an eighth of the file descriptors is left for siblings and the store")
    {
        // Guards against a VM that cannot ask anybody whether its configuration is the latest.
        for (const std::size_t descriptors : { 64, 1024, 8192, 1048576 }) {
            const auto shares = divideDescriptors(descriptors);
            CHECK(shares.callers + shares.upstreams <= descriptors - descriptors / 8);
            CHECK(shares.upstreams >= descriptors / 8);
        }
        CHECK(hasFreeDescriptor());
    }
}
