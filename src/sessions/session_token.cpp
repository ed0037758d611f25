#include <cyclamendrift/sessions/session_token.h>

#include <cyclamendrift/core/base64.h>
#include <cyclamendrift/sessions/session_error.h>

#include <session.pb.h>

#include <algorithm>

namespace cyclamendrift {

SessionToken SessionToken::decode(std::string_view text)
{
    if (text.size() > SessionToken::maxTextLength)
        throw SessionError { "session token exceeds the maximum length" };
    wire::SessionToken message;
    const auto bytes = fromBase64(text, Base64Form::UrlSafe);
    if (!bytes)
        throw SessionError { "session token is not URL-safe base64" };
    if (!message.ParseFromString(*bytes))
        throw SessionError { "session token is not a valid protobuf message" };
    SessionToken token;
    for (const auto& entry : message.entries()) {
        if (entry.service().empty() || entry.database().empty())
            throw SessionError { "session token has an entry with an empty service or database name" };
        token.observe({ ServiceName { entry.service() }, entry.database() },
            { Term { entry.term() }, LogPosition { entry.position() } });
    }
    return token;
}

std::string SessionToken::encode() const
{
    wire::SessionToken message;
    for (const auto& [database, progress] : this->seen) {
        auto& entry = *message.add_entries();
        entry.set_service(database.service.string());
        entry.set_database(database.name);
        entry.set_term(static_cast<std::uint64_t>(progress.term));
        entry.set_position(static_cast<std::uint64_t>(progress.position));
    }
    return toBase64(message.SerializeAsString(), Base64Form::UrlSafe);
}

Progress SessionToken::progressOf(const DatabaseName& database) const noexcept
{
    const auto entry = this->seen.find(database);
    return entry == this->seen.end() ? Progress {} : entry->second;
}

bool SessionToken::hasRoomFor(const DatabaseName& database) const noexcept
{
    return this->seen.size() < SessionToken::maxDatabases || this->seen.contains(database);
}

void SessionToken::observe(const DatabaseName& database, Progress progress)
{
    if (!this->hasRoomFor(database))
        throw SessionError { "session token has no room for another database" };
    auto& known = this->seen[database];
    known = std::max(known, progress);
}

void SessionToken::merge(const SessionToken& other)
{
    for (const auto& [database, progress] : other.seen)
        this->observe(database, progress);
}

} // namespace cyclamendrift
