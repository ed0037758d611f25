#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/progress.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// The progress that a session has seen in each database. The caller keeps it as text and sends it with each
/// request, so any proxy can serve the session and none stores state for it.
///
///     auto token = SessionToken::decode(request.session_token());
///     token.observe(database, answer.seen);
///     response.set_session_token(token.encode());
class SessionToken {
public:
    /// Most databases in a token. Further ones are rejected, since dropping an entry would silently break
    /// read-your-writes.
    static constexpr std::size_t maxDatabases = 64;
    /// Longest encoded token, in characters.
    static constexpr std::size_t maxTextLength = 16384;

    /// Decodes a token; an empty text gives the token of a new session. Throws SessionError if the text is
    /// not a valid token.
    [[nodiscard]] static SessionToken decode(std::string_view text);

    /// Encodes the token as URL-safe base64; equal tokens give equal texts.
    [[nodiscard]] std::string encode() const;

    /// Returns the progress seen in a database; term and position are 0 if there is none.
    ///
    ///     token.progressOf(beds); // Progress { Term { 3 }, LogPosition { 4711 } }
    [[nodiscard]] Progress progressOf(const DatabaseName& database) const noexcept;

    /// True if observe() accepts this database. To be checked before a statement runs, as a full token could
    /// not record the progress of its answer afterwards.
    [[nodiscard]] bool hasRoomFor(const DatabaseName& database) const noexcept;

    /// Raises the progress of a database to that of an answer; never lowers it. Throws SessionError if there
    /// is no room.
    void observe(const DatabaseName& database, Progress progress);

    /// Takes the maximum of both tokens for each database. Throws SessionError if there is no room.
    void merge(const SessionToken& other);

    friend bool operator==(const SessionToken&, const SessionToken&) = default;

private:
    std::map<DatabaseName, Progress> seen;
};

} // namespace cyclamendrift
