#include "sql_lexer.h"
#include "sql_statement.h"

#include <utility>

namespace cyclamendrift::standins {

namespace {

class Parser {
public:
    explicit Parser(std::string_view text)
        : lexer(text)
        , token(lexer.next())
    {
    }

    SqlStatement parse()
    {
        auto statement = this->statement();
        this->accept(";");
        if (this->token.kind != TokenKind::End)
            this->refuse();
        return statement;
    }

private:
    SqlStatement statement()
    {
        if (this->token.kind == TokenKind::End || this->is(";"))
            return Empty {};
        if (this->accept("create"))
            return this->createTable();
        if (this->accept("insert"))
            return this->insert();
        if (this->accept("select"))
            return this->select();
        if (this->accept("update"))
            return this->update();
        if (this->accept("delete"))
            return this->deleteRows();
        if (this->accept("begin") || this->is("start"))
            return this->begin();
        if (this->accept("commit") || this->accept("end"))
            return this->skipRest(Commit {});
        if (this->accept("rollback") || this->accept("abort"))
            return this->skipRest(Rollback {});
        if (this->accept("set"))
            return this->skipRest(Ignored { "SET" });
        if (this->accept("discard"))
            return this->skipRest(Ignored { "DISCARD ALL" });
        this->refuse();
    }

    SqlStatement createTable()
    {
        CreateTable create;
        this->expect("table");
        if (this->accept("if")) {
            this->expect("not");
            this->expect("exists");
            create.ifNotExists = true;
        }
        create.table = this->word();
        this->expect("(");
        do {
            if (this->accept("primary")) {
                this->expect("key");
                create.primaryKey = this->names();
                continue;
            }
            create.columns.push_back(this->word());
            if (this->skipColumnType())
                create.primaryKey = { create.columns.back() };
        } while (this->accept(","));
        this->expect(")");
        return create;
    }

    /// Passes over type and constraints; true when PRIMARY KEY is among them.
    bool skipColumnType()
    {
        bool primaryKey = false;
        int depth = 0;
        while (this->token.kind != TokenKind::End && (depth > 0 || (!this->is(",") && !this->is(")")))) {
            primaryKey = primaryKey || this->is("primary");
            depth += this->is("(") ? 1 : 0;
            depth -= this->is(")") ? 1 : 0;
            this->advance();
        }
        return primaryKey;
    }

    SqlStatement insert()
    {
        Insert insert;
        this->expect("into");
        insert.table = this->word();
        if (this->is("("))
            insert.columns = this->names();
        this->expect("values");
        do {
            this->expect("(");
            insert.rows.push_back(this->expressions());
            this->expect(")");
        } while (this->accept(","));
        if (this->accept("on")) {
            this->expect("conflict");
            if (this->is("("))
                (void)this->names();
            this->expect("do");
            this->expect("nothing");
            insert.ignoreConflict = true;
        }
        insert.returning = this->returning();
        return insert;
    }

    SqlStatement select()
    {
        Select select;
        select.output = this->output();
        if (!this->accept("from"))
            return select;
        select.table = this->word();
        if (this->accept("("))
            return this->controlCall(std::move(select.table));
        select.where = this->where();
        if (this->accept("order")) {
            this->expect("by");
            select.orderBy = this->word();
            select.descending = this->accept("desc");
            this->accept("asc");
        }
        if (this->accept("limit"))
            select.limit = std::stoul(this->take(TokenKind::Number));
        if (this->accept("for")) {
            this->expect("update");
            select.forUpdate = true;
        }
        return select;
    }

    SqlStatement controlCall(std::string function)
    {
        ControlCall call { .function = std::move(function), .arguments = {} };
        if (!this->is(")")) {
            do
                call.arguments.push_back(this->operand());
            while (this->accept(","));
        }
        this->expect(")");
        return call;
    }

    SqlStatement update()
    {
        Update update;
        update.table = this->word();
        this->expect("set");
        do {
            update.columns.push_back(this->word());
            this->expect("=");
            update.values.push_back(this->expression());
        } while (this->accept(","));
        update.where = this->where();
        update.returning = this->returning();
        return update;
    }

    SqlStatement deleteRows()
    {
        Delete deletion;
        this->expect("from");
        deletion.table = this->word();
        deletion.where = this->where();
        deletion.returning = this->returning();
        return deletion;
    }

    SqlStatement begin()
    {
        Begin begin;
        while (this->token.kind == TokenKind::Word || this->is(",")) {
            if (this->accept("read"))
                begin.readOnly = this->is("only") || begin.readOnly;
            this->advance();
        }
        return begin;
    }

    template <class Result> SqlStatement skipRest(Result result)
    {
        while (this->token.kind != TokenKind::End && !this->is(";"))
            this->advance();
        return result;
    }

    std::vector<Condition> where()
    {
        std::vector<Condition> conditions;
        if (!this->accept("where"))
            return conditions;
        do {
            Condition condition;
            condition.column = this->word();
            condition.comparison = this->comparison();
            condition.value = this->expression();
            conditions.push_back(std::move(condition));
        } while (this->accept("and"));
        return conditions;
    }

    Comparison comparison()
    {
        if (this->accept("="))
            return Comparison::Equal;
        if (this->accept("<>") || this->accept("!="))
            return Comparison::NotEqual;
        if (this->accept("<="))
            return Comparison::LessOrEqual;
        if (this->accept("<"))
            return Comparison::Less;
        if (this->accept(">="))
            return Comparison::GreaterOrEqual;
        this->expect(">");
        return Comparison::Greater;
    }

    std::optional<Output> returning()
    {
        if (!this->accept("returning"))
            return std::nullopt;
        return this->output();
    }

    Output output()
    {
        Output output;
        if (this->accept("*")) {
            output.all = true;
            return output;
        }
        if (this->accept("count")) {
            this->expect("(");
            this->expect("*");
            this->expect(")");
            output.count = true;
            output.names = { "count" };
            return output;
        }
        do {
            output.expressions.push_back(this->expression());
            const auto* column = std::get_if<Column>(&output.expressions.back().left);
            output.names.push_back(column && output.expressions.back().sign == 0 ? column->name : "?column?");
            if (this->accept("as"))
                output.names.back() = this->word();
        } while (this->accept(","));
        return output;
    }

    std::vector<Expression> expressions()
    {
        std::vector<Expression> result;
        do
            result.push_back(this->expression());
        while (this->accept(","));
        return result;
    }

    Expression expression()
    {
        Expression expression;
        expression.left = this->operand();
        if (this->is("+") || this->is("-")) {
            expression.sign = this->token.text.front();
            this->advance();
            expression.right = this->operand();
        }
        return expression;
    }

    Operand operand()
    {
        Operand result;
        if (this->accept("-"))
            result = Literal { '-' + this->take(TokenKind::Number) };
        else if (this->token.kind == TokenKind::Number)
            result = Literal { this->take(TokenKind::Number) };
        else if (this->token.kind == TokenKind::String)
            result = Literal { this->take(TokenKind::String) };
        else if (this->token.kind == TokenKind::Parameter)
            result = Parameter { std::stoul(this->take(TokenKind::Parameter)) };
        else if (this->accept("null"))
            result = Literal { std::nullopt };
        else if (this->accept("true"))
            result = Literal { "t" };
        else if (this->accept("false"))
            result = Literal { "f" };
        else
            result = Column { this->word() };
        if (this->accept("::"))
            (void)this->word();
        return result;
    }

    std::vector<std::string> names()
    {
        std::vector<std::string> result;
        this->expect("(");
        do
            result.push_back(this->word());
        while (this->accept(","));
        this->expect(")");
        return result;
    }

    [[nodiscard]] bool is(std::string_view text) const
    {
        const bool bare = this->token.kind == TokenKind::Word || this->token.kind == TokenKind::Symbol;
        return bare && this->token.text == text;
    }

    bool accept(std::string_view text)
    {
        if (!this->is(text))
            return false;
        this->advance();
        return true;
    }

    void expect(std::string_view text)
    {
        if (!this->accept(text))
            this->refuse();
    }

    std::string word() { return this->take(TokenKind::Word); }

    std::string take(TokenKind kind)
    {
        if (this->token.kind != kind)
            this->refuse();
        auto text = std::move(this->token.text);
        this->advance();
        return text;
    }

    void advance() { this->token = this->lexer.next(); }

    [[noreturn]] void refuse() const
    {
        throw SqlError { "42601", "syntax error at or near \"" + this->token.text + '"' };
    }

    Lexer lexer;
    Token token;
};

} // namespace

SqlStatement parseSql(std::string_view text)
{
    try {
        return Parser { text }.parse();
    } catch (const std::logic_error&) {
        throw SqlError { "42601", "a number is out of range" };
    }
}

} // namespace cyclamendrift::standins
