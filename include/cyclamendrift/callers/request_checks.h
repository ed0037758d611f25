#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/statement.h>

#include <cyclamendrift.pb.h>

#include <cstddef>
#include <cstdint>

/// Checks of what callers send. Each throws RequestError with BadRequest and "not run".
namespace cyclamendrift {

/// Longest transaction id that is looked at.
inline constexpr std::size_t maxTransactionIdLength = 1024;

/// Checks every field of a statement that does not need the configuration.
void check(const api::ExecuteRequest& request);

/// Checks the opening of a transaction.
void check(const api::BeginRequest& request);

/// Checks the end of a transaction.
void check(const api::EndRequest& request);

/// The access that a checked statement asks for; a session read when a read says nothing more.
[[nodiscard]] Access accessOf(const api::ExecuteRequest& request);

/// The priority that the wire gives.
[[nodiscard]] Priority priorityOf(api::Priority priority) noexcept;

/// When a request must be answered; `timeoutMs` of 0 stands for the limit, and no request gets more than
/// that.
[[nodiscard]] Instant deadlineOf(Instant received, std::uint32_t timeoutMs, Duration limit) noexcept;

} // namespace cyclamendrift
