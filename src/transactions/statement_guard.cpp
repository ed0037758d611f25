#include <cyclamendrift/transactions/statement_guard.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace cyclamendrift {

namespace {

/// A COMMIT within a write would commit it without its row in the ledger. The effect of a SET, LISTEN or
/// DECLARE would persist on the connection and affect another team.
constexpr std::array<std::string_view, 20> sessionControlKeywords { "ABORT", "BEGIN", "CLOSE", "COMMIT",
    "COPY", "DEALLOCATE", "DECLARE", "DISCARD", "END", "EXECUTE", "LISTEN", "LOAD", "PREPARE", "RELEASE",
    "RESET", "ROLLBACK", "SAVEPOINT", "SET", "START", "UNLISTEN" };

constexpr std::string_view leadingSeparators = " \t\r\n\f\v;";

std::string_view skipBlockComment(std::string_view sql)
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

std::string_view skipLeadingComments(std::string_view sql)
{
    for (;;) {
        sql.remove_prefix(std::min(sql.find_first_not_of(leadingSeparators), sql.size()));
        if (sql.starts_with("--"))
            sql.remove_prefix(std::min(sql.find('\n'), sql.size()));
        else if (sql.starts_with("/*"))
            sql = skipBlockComment(sql);
        else
            return sql;
    }
}

} // namespace

bool isSessionControlStatement(std::string_view sql)
{
    sql = skipLeadingComments(sql);
    std::string keyword;
    for (const char character : sql) {
        if (std::isalpha(static_cast<unsigned char>(character)) == 0)
            break;
        keyword += static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return std::find(sessionControlKeywords.begin(), sessionControlKeywords.end(), keyword)
        != sessionControlKeywords.end();
}

} // namespace cyclamendrift
