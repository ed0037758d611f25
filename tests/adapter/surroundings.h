#pragma once

#include "kv_server.h"
#include "line_upstreams.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <thread>

/// What a session proxy runs among in the tests, on loopback.
namespace cyclamendrift {

/// Returns a free port below the range that the kernel assigns to outgoing connections, so that none of these
/// takes the port before the proxy does.
inline std::uint16_t freePort()
{
    constexpr int first = 20000;
    constexpr int range = 10000;
    static int next = static_cast<int>(getpid()) * 64 % range;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first + next++ % range);
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor { context, asio::ip::tcp::v4() };
        asio::error_code taken;
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), port }, taken);
        if (!taken)
            return port;
    }
}

/// The platform on a separate thread: store, promotion and one group of three upstreams.
class Surroundings {
public:
    /// `configuration` is what operators have written.
    explicit Surroundings(const std::string& configuration)
        : kv(context)
        , upstreams(context, "register", 3)
    {
        this->kv.onPromotion
            = [this](const std::string&, const std::string& id) { return this->upstreams.promote(id); };
        this->kv.put("op/config", configuration);
        for (std::size_t index = 0; index < 3; ++index)
            this->tellEntry(index);
        this->kv.put("servers/i-foreign", "not for us");
        this->thread = std::thread { [this] {
            const auto guard = asio::make_work_guard(this->context);
            this->context.run();
        } };
    }
    ~Surroundings()
    {
        this->context.stop();
        this->thread.join();
    }
    Surroundings(const Surroundings&) = delete;
    Surroundings& operator=(const Surroundings&) = delete;

    void tellEntry(std::size_t index)
    {
        this->kv.put("servers/" + this->upstreams.node(index).id, this->upstreams.entryOf(index));
    }

    /// Runs something on the platform's thread and waits for it.
    void perform(const std::function<void()>& work)
    {
        std::promise<void> done;
        asio::post(this->context, [&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    asio::io_context context { 1 };
    KvServer kv;
    LineUpstreams upstreams;

private:
    std::thread thread;
};

} // namespace cyclamendrift
