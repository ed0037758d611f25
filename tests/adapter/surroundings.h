#pragma once

#include "kv_server.h"
#include "line_upstreams.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// What a session proxy runs among in the tests, on loopback.
namespace cyclamendrift {

/// Ports that no other test process uses, below the range that the kernel assigns to outgoing connections. A
/// port is not bound while its proxy is down, so a process keeps the first port of each of its blocks bound
/// for as long as it runs, and others skip the block.
class PortBlocks {
public:
    std::uint16_t nextPort()
    {
        while (true) {
            if (this->next % blockSize == 0)
                this->claimBlock();
            const auto port = static_cast<std::uint16_t>(this->next++);
            asio::ip::tcp::acceptor probe { this->context, asio::ip::tcp::v4() };
            if (isFree(probe, port))
                return port;
        }
    }

private:
    static constexpr int firstPort = 20000;
    static constexpr int endPort = 32700;
    static constexpr int blockSize = 100;

    static bool isFree(asio::ip::tcp::acceptor& acceptor, std::uint16_t port)
    {
        asio::error_code taken;
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), port }, taken);
        return !taken;
    }

    void claimBlock()
    {
        for (int block = firstPort; block < endPort; block += blockSize) {
            asio::ip::tcp::acceptor claim { this->context, asio::ip::tcp::v4() };
            if (!isFree(claim, static_cast<std::uint16_t>(block)))
                continue;
            this->claims.push_back(std::move(claim));
            this->next = block + 1;
            return;
        }
        throw std::runtime_error { "no block of ports is free" };
    }

    asio::io_context context;
    std::vector<asio::ip::tcp::acceptor> claims;
    int next = 0;
};

inline std::uint16_t freePort()
{
    static PortBlocks blocks;
    return blocks.nextPort();
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
