#pragma once

#include <cyclamendrift/runtime/context_runner.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <thread>

namespace cyclamendrift {

/// An io_context with the one thread that runs it.
class ProxyContext {
public:
    ProxyContext()
        : work(asio::make_work_guard(this->context))
    {
    }
    ProxyContext(const ProxyContext&) = delete;
    ProxyContext& operator=(const ProxyContext&) = delete;
    ~ProxyContext() { this->join(); }

    [[nodiscard]] asio::io_context& io() noexcept { return this->context; }
    [[nodiscard]] asio::any_io_executor executor() noexcept { return this->context.get_executor(); }

    void start()
    {
        this->thread = std::thread { [this] { runContext(this->context, "proxy"); } };
    }

    void join()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    /// Destroys what still waits; after join(). What waits in one context may own parts that live on another,
    /// so this is done for every context before the first of them is destroyed: a timer must not outlive its
    /// context.
    void destroyPending() { this->context.shutdown(); }

private:
    class Context : public asio::io_context {
    public:
        using asio::io_context::shutdown;
    };

    Context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

} // namespace cyclamendrift
