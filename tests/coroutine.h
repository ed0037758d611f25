#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>

#include <exception>
#include <optional>
#include <type_traits>
#include <utility>

/// Runs a context until a coroutine has ended on it; returns its result or rethrows what it threw.
///
///     const auto answers = runCoroutine(context, connection->execute(statements, deadline));
template <class Result> Result runCoroutine(asio::io_context& context, asio::awaitable<Result> coroutine)
{
    bool done = false;
    std::exception_ptr failure;
    context.restart();
    if constexpr (std::is_void_v<Result>) {
        asio::co_spawn(context, std::move(coroutine), [&](std::exception_ptr error) {
            failure = std::move(error);
            done = true;
        });
        while (!done && context.run_one() > 0) { }
        if (failure)
            std::rethrow_exception(failure);
    } else {
        std::optional<Result> result;
        asio::co_spawn(context, std::move(coroutine), [&](std::exception_ptr error, Result value) {
            failure = std::move(error);
            if (!failure)
                result.emplace(std::move(value));
            done = true;
        });
        while (!done && context.run_one() > 0) { }
        if (failure)
            std::rethrow_exception(failure);
        return std::move(*result);
    }
}
