#include <cyclamendrift/callers/request_checks.h>

#include <cyclamendrift/callers/request_id.h>
#include <cyclamendrift/core/request_error.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

namespace cyclamendrift {

namespace {

/// More would not fit into a Duration, and no replica is that far behind.
constexpr double mostStalenessSeconds = 30.0 * 24 * 3600;
constexpr std::size_t mostNameLength = 255;

[[noreturn]] void refuse(std::string message)
{
    throw RequestError {
        { .outcome = Outcome::NotRun, .reason = RefusalReason::BadRequest, .message = std::move(message) }
    };
}

void checkRequestId(std::string_view id)
{
    if (!isValidRequestId(id))
        refuse("request_id must be 1 to 64 printable ASCII characters without spaces");
}

void checkName(std::string_view name, std::string_view field)
{
    if (name.empty() || name.size() > mostNameLength)
        refuse(std::string { field } + " must be a name of 1 to 255 characters");
}

void checkTransactionId(std::string_view id)
{
    if (id.size() > maxTransactionIdLength)
        refuse("transaction_id is not one that Begin returned");
}

void checkRead(const api::ReadOptions& read)
{
    if (read.freshness_case() != api::ReadOptions::kMaxStalenessSeconds)
        return;
    const double seconds = read.max_staleness_seconds();
    // A comparison with NaN is false, so it must be the one for the accepted range.
    if (!(seconds >= 0 && seconds <= mostStalenessSeconds))
        refuse("max_staleness_seconds must be a number from 0 to 2592000");
}

void checkKind(const api::ExecuteRequest& request)
{
    // A request with both set does not come so far: it is refused while its body is parsed.
    if (request.kind_case() == api::ExecuteRequest::KIND_NOT_SET && request.transaction_id().empty())
        refuse("either read or write must be set");
    if (request.has_read())
        checkRead(request.read());
}

} // namespace

void check(const api::ExecuteRequest& request)
{
    checkRequestId(request.request_id());
    checkName(request.service(), "service");
    checkName(request.database(), "database");
    checkTransactionId(request.transaction_id());
    checkKind(request);
    if (request.statement().empty())
        refuse("statement must not be empty");
}

void check(const api::BeginRequest& request)
{
    checkRequestId(request.request_id());
    checkName(request.service(), "service");
    checkName(request.database(), "database");
}

void check(const api::EndRequest& request)
{
    checkRequestId(request.request_id());
    if (request.transaction_id().empty())
        refuse("transaction_id is required");
    checkTransactionId(request.transaction_id());
}

Access accessOf(const api::ExecuteRequest& request)
{
    // Within a transaction neither need be set; what is not known to be a read is handled as a write.
    if (!request.has_read())
        return Write { .idempotent = request.write().idempotent() };
    const auto& read = request.read();
    if (read.freshness_case() == api::ReadOptions::kPrimary && read.primary())
        return PrimaryRead {};
    if (read.freshness_case() == api::ReadOptions::kMaxStalenessSeconds) {
        const std::chrono::duration<double> bound { read.max_staleness_seconds() };
        return BoundedRead { .maxStaleness = std::chrono::duration_cast<Duration>(bound) };
    }
    return SessionRead {};
}

Priority priorityOf(api::Priority priority) noexcept
{
    return priority == api::PRIORITY_HIGH ? Priority::High : Priority::Normal;
}

Instant deadlineOf(Instant received, std::uint32_t timeoutMs, Duration limit) noexcept
{
    const Duration asked = std::chrono::milliseconds { timeoutMs };
    return received + (timeoutMs == 0 ? limit : std::min(asked, limit));
}

} // namespace cyclamendrift
