#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamendrift::standins {

enum class TokenKind : std::uint8_t { Word, Number, String, Parameter, Symbol, End };

struct Token {
    TokenKind kind = TokenKind::End;
    std::string text;
};

/// Takes the tokens of a statement apart. Words come in lower case unless they were quoted.
class Lexer {
public:
    explicit Lexer(std::string_view text) noexcept
        : text(text)
    {
    }

    /// The next token; of kind End after the last. Throws SqlError for a quoted text without an end.
    Token next();

private:
    void skipSpace();
    std::string word();
    std::string symbol();
    std::string quoted(char quote);

    std::string_view text;
    std::size_t at = 0;
};

} // namespace cyclamendrift::standins
