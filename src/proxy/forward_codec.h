#pragma once

#include <cyclamendrift/proxy/database_home.h>
#include <cyclamendrift/schema/progress_codec.h>

#include <forward.pb.h>

#include <string>

/// Between the messages that proxies exchange and the requests of a DatabaseHome.
namespace cyclamendrift {

/// Names of the methods that proxies serve one another.
namespace forward_method {
inline constexpr auto execute = "Execute";
inline constexpr auto begin = "Begin";
inline constexpr auto end = "End";
inline constexpr auto homeStatus = "HomeStatus";
} // namespace forward_method

/// What a call between siblings carries beside its body.
struct CallContext {
    Instant deadline;
    std::string traceparent;
};

[[nodiscard]] wire::ForwardedExecute forwardedFrom(const HomeRequest& request);
[[nodiscard]] wire::ForwardedBegin forwardedFrom(const BeginHomeRequest& request);
[[nodiscard]] wire::ForwardedEnd forwardedFrom(const EndHomeRequest& request, const DatabaseName& database);

[[nodiscard]] HomeRequest homeRequestFrom(const wire::ForwardedExecute& message, CallContext context);
[[nodiscard]] BeginHomeRequest homeRequestFrom(const wire::ForwardedBegin& message, CallContext context);
[[nodiscard]] EndHomeRequest homeRequestFrom(const wire::ForwardedEnd& message, CallContext context);

[[nodiscard]] wire::ForwardedExecuteAnswer forwardedFrom(const HomeAnswer& answer);
[[nodiscard]] HomeAnswer homeAnswerFrom(const wire::ForwardedExecuteAnswer& message);

/// The home's request for what a caller sent.
[[nodiscard]] Statement statementFrom(const api::ExecuteRequest& request);

/// Puts rows, slot and outcome of an answer into the caller's response.
void fillResponse(const HomeAnswer& answer, api::ExecuteResponse& response);

/// Puts term, primary and state of a home into the status that operators see.
void fillStatus(const HomeStatus& status, api::DatabaseStatus& message);

} // namespace cyclamendrift
