#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/progress.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// What a session has seen of each database. The caller holds it as text, so that it is good at any proxy and
/// none of them keeps anything for a session.
///
///     auto token = SessionToken::decode(request.session_token());
///     token.observe(database, answer.seen);
///     response.set_session_token(token.encode());
class SessionToken {
public:
    /// Databases that one token may name. A token is refused past it: dropping an entry would break
    /// read-your-writes without a sign.
    static constexpr std::size_t maxDatabases = 64;
    /// Characters that a token may have as text.
    static constexpr std::size_t maxTextLength = 16384;

    /// The token that a text stands for; the empty text is the start of a session. Throws SessionError when
    /// the text is not one that encode() gave.
    [[nodiscard]] static SessionToken decode(std::string_view text);

    /// The token as text of letters, digits, '-' and '_'; equal tokens give equal texts.
    [[nodiscard]] std::string encode() const;

    /// What the session has seen of a database; term and position 0 when nothing.
    ///
    ///     token.progressOf(beds); // Progress { Term { 3 }, LogPosition { 4711 } }
    [[nodiscard]] Progress progressOf(const DatabaseName& database) const noexcept;

    /// True when observe() of this database will not throw. Ask it before a statement is run: afterwards its
    /// answer could no longer be given truly.
    [[nodiscard]] bool hasRoomFor(const DatabaseName& database) const noexcept;

    /// Adds what an answer has shown; never goes back. Throws SessionError when there is no room.
    void observe(const DatabaseName& database, Progress progress);

    /// Takes over the further progress of each database. Throws SessionError when there is no room.
    void merge(const SessionToken& other);

    friend bool operator==(const SessionToken&, const SessionToken&) = default;

private:
    std::map<DatabaseName, Progress> seen;
};

} // namespace cyclamendrift
