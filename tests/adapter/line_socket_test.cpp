#include <platform/line_socket.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cyclamendrift;
using asio::ip::tcp;

TEST_SUITE("connections that carry lines")
{
    TEST_CASE("a line that cannot be handled ends its own connection and no other")
    {
        // Guards against a line that ends the process, or a connection that is neither read nor closed.
        asio::io_context context { 1 };
        tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
        std::vector<std::string> lines;
        int ended = 0;
        const auto serve = [&](bool fails) {
            tcp::socket peer { context };
            peer.connect(acceptor.local_endpoint());
            auto line = std::make_shared<platform::LineSocket>(acceptor.accept());
            line->start({ .onLine =
                              [&lines, fails](std::string_view text) {
                                  if (fails)
                                      throw std::runtime_error { "a line that cannot be handled" };
                                  lines.emplace_back(text);
                              },
                .onEnd = [&ended](platform::LineSocket::End) { ++ended; } });
            return std::pair { std::move(peer), line };
        };
        auto [failingPeer, failing] = serve(true);
        auto [otherPeer, other] = serve(false);
        asio::write(failingPeer, asio::buffer(std::string { "QUERY 1 READ a\r\n" }));
        asio::write(otherPeer, asio::buffer(std::string { "QUERY 2 READ b\r\n" }));
        while (lines.empty() || ended == 0)
            context.run_one();
        CHECK(lines == std::vector<std::string> { "QUERY 2 READ b" });
        CHECK(ended == 1);
        asio::error_code closed;
        char byte = 0;
        failingPeer.read_some(asio::buffer(&byte, 1), closed);
        CHECK(closed);
        other->close();
    }

    TEST_CASE("only a carriage return with a line feed ends a line, however it arrives")
    {
        // Guards against data that is cut at a line feed, and runs as a statement that no caller has sent.
        asio::io_context context { 1 };
        tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
        tcp::socket peer { context };
        peer.connect(acceptor.local_endpoint());
        std::vector<std::string> lines;
        const auto line = std::make_shared<platform::LineSocket>(acceptor.accept());
        line->start({ .onLine = [&lines](std::string_view text) { lines.emplace_back(text); } });
        for (const std::string part :
            { "WRITE a one\ntwo", "\r", "\n", "WRITE b one\rtwo\n\r", "\n\r", "\nWRITE c\r\n" }) {
            asio::write(peer, asio::buffer(part));
            context.run_one();
        }
        CHECK(lines == std::vector<std::string> { "WRITE a one\ntwo", "WRITE b one\rtwo\n", "", "WRITE c" });
        line->close();
    }
}
