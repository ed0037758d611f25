#include <cyclamendrift/transactions/statement_guard.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace cyclamendrift {

namespace {

/// A COMMIT within a write would commit it without its row in the ledger; a SET, LISTEN or DECLARE would stay
/// with the connection and reach another team.
constexpr std::array<std::string_view, 20> sessionCommands { "ABORT", "BEGIN", "CLOSE", "COMMIT", "COPY",
    "DEALLOCATE", "DECLARE", "DISCARD", "END", "EXECUTE", "LISTEN", "LOAD", "PREPARE", "RELEASE", "RESET",
    "ROLLBACK", "SAVEPOINT", "SET", "START", "UNLISTEN" };

constexpr std::string_view blanks = " \t\r\n\f\v;";

std::string_view withoutBlockComment(std::string_view sql)
{
    int depth = 0;
    while (sql.size() >= 2) {
        const auto pair = sql.substr(0, 2);
        if (pair != "/*" && pair != "*/") {
            sql.remove_prefix(1);
            continue;
        }
        depth += pair == "/*" ? 1 : -1;
        sql.remove_prefix(2);
        if (depth == 0)
            return sql;
    }
    return {};
}

std::string_view withoutLeadingComments(std::string_view sql)
{
    for (;;) {
        sql.remove_prefix(std::min(sql.find_first_not_of(blanks), sql.size()));
        if (sql.starts_with("--"))
            sql.remove_prefix(std::min(sql.find('\n'), sql.size()));
        else if (sql.starts_with("/*"))
            sql = withoutBlockComment(sql);
        else
            return sql;
    }
}

} // namespace

bool isSessionControlStatement(std::string_view sql)
{
    sql = withoutLeadingComments(sql);
    std::string word;
    for (const char character : sql) {
        if (std::isalpha(static_cast<unsigned char>(character)) == 0)
            break;
        word += static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return std::find(sessionCommands.begin(), sessionCommands.end(), word) != sessionCommands.end();
}

} // namespace cyclamendrift
