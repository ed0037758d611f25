#include "sql_lexer.h"

#include "sql_statement.h"

#include <algorithm>
#include <cctype>
#include <initializer_list>

namespace cyclamendrift::standins {

namespace {

bool isWordCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' || character == '.';
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

} // namespace

Token Lexer::next()
{
    this->skipSpace();
    if (this->at == this->text.size())
        return {};
    const char first = this->text[this->at];
    if (first == '\'')
        return { TokenKind::String, this->quoted('\'') };
    if (first == '"')
        return { TokenKind::Word, this->quoted('"') };
    if (first == '$') {
        ++this->at;
        return { TokenKind::Parameter, this->word() };
    }
    if (std::isdigit(static_cast<unsigned char>(first)) != 0)
        return { TokenKind::Number, this->word() };
    if (isWordCharacter(first))
        return { TokenKind::Word, lowerCase(this->word()) };
    return { TokenKind::Symbol, this->symbol() };
}

void Lexer::skipSpace()
{
    while (
        this->at < this->text.size() && std::isspace(static_cast<unsigned char>(this->text[this->at])) != 0)
        ++this->at;
}

std::string Lexer::word()
{
    const auto start = this->at;
    while (this->at < this->text.size() && isWordCharacter(this->text[this->at]))
        ++this->at;
    return std::string { this->text.substr(start, this->at - start) };
}

std::string Lexer::symbol()
{
    for (const std::string_view pair : { "<=", ">=", "<>", "!=", "::" }) {
        if (this->text.substr(this->at, pair.size()) == pair) {
            this->at += pair.size();
            return std::string { pair };
        }
    }
    return std::string { this->text[this->at++] };
}

std::string Lexer::quoted(char quote)
{
    std::string result;
    for (++this->at; this->at < this->text.size(); ++this->at) {
        if (this->text[this->at] != quote) {
            result += this->text[this->at];
            continue;
        }
        ++this->at;
        const bool doubled = this->at < this->text.size() && this->text[this->at] == quote;
        if (!doubled)
            return result;
        result += quote;
    }
    throw SqlError { "42601", "unterminated quoted text" };
}

} // namespace cyclamendrift::standins
