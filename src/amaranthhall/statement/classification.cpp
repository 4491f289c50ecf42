#include "amaranthhall/statement/classification.hpp"

#include "amaranthhall/statement/parse_tree.hpp"

#include <algorithm>
#include <cctype>

namespace amaranthhall::statement {

namespace {

    using internal::Json;

    constexpr int cursorWithHold = 0x20; // CURSOR_OPT_HOLD of PostgreSQL's parser
    constexpr std::string_view whitespace = " \t\r\n\f\v";

    std::string trim(std::string_view text)
    {
        const auto begin = text.find_first_not_of(whitespace);
        if (begin == std::string_view::npos)
            return {};
        return std::string(text.substr(begin, text.find_last_not_of(whitespace) - begin + 1));
    }

    std::string toLower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return text;
    }

    StatementKind classifyTransaction(const Json& statement)
    {
        const auto kind = statement.value("kind", "");
        if (statement.value("chain", false))
            return StatementKind::Unsupported;
        if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START")
            return StatementKind::Begin;
        if (kind == "TRANS_STMT_COMMIT" || kind == "TRANS_STMT_PREPARE")
            return StatementKind::Commit;
        if (kind == "TRANS_STMT_ROLLBACK")
            return StatementKind::Rollback;
        if (kind == "TRANS_STMT_SAVEPOINT" || kind == "TRANS_STMT_RELEASE" || kind == "TRANS_STMT_ROLLBACK_TO")
            return StatementKind::Savepoint;
        return StatementKind::Write;
    }

    std::string constantToString(const Json& argument)
    {
        if (argument.contains("TypeCast"))
            return constantToString(argument["TypeCast"]["arg"]);
        if (!argument.contains("A_Const"))
            return {};
        const auto& constant = argument["A_Const"];
        if (constant.contains("sval"))
            return constant["sval"].value("sval", "");
        if (constant.contains("ival"))
            return std::to_string(constant["ival"].value("ival", 0));
        if (constant.contains("fval"))
            return constant["fval"].value("fval", "");
        if (constant.contains("boolval"))
            return constant["boolval"].value("boolval", false) ? "true" : "false";
        return {};
    }

    Assignment decodeAssignment(const Json& statement)
    {
        const auto kind = statement.value("kind", "");
        Assignment assignment {
            .name = toLower(statement.value("name", "")),
            .isLocal = statement.value("is_local", false),
            .isReset = kind == "VAR_SET_DEFAULT" || kind == "VAR_RESET" || kind == "VAR_RESET_ALL",
        };
        if (kind == "VAR_RESET_ALL")
            assignment.name = "all";
        if (kind == "VAR_SET_MULTI" && assignment.name != "session characteristics")
            assignment.isLocal = true;
        if (const auto arguments = statement.find("args"); arguments != statement.end()) {
            for (const auto& argument : *arguments)
                assignment.value += (assignment.value.empty() ? "" : ", ") + constantToString(argument);
        }
        return assignment;
    }

    bool hasUnparsedControlCall(const Json& statement)
    {
        if (!statement.contains("DoStmt") && !statement.contains("CreateFunctionStmt"))
            return false;
        return internal::mentionsControlFunction(statement.dump());
    }

    bool createsSessionState(const Json& statement, const std::vector<std::string>& functions)
    {
        for (const auto* name : { "ListenStmt", "UnlistenStmt", "PrepareStmt", "LoadStmt" }) {
            if (statement.contains(name))
                return true;
        }
        if (const auto cursor = statement.find("DeclareCursorStmt"); cursor != statement.end())
            return (static_cast<unsigned>(cursor->value("options", 0)) & cursorWithHold) != 0;
        return internal::referencesTemporaryRelation(statement) || std::any_of(functions.begin(), functions.end(), internal::leavesSessionState);
    }

    StatementKind classifySelect(const Json& statement, std::vector<std::string>& functions)
    {
        if (!internal::isReadOnlyTree(statement))
            return StatementKind::Write;
        std::erase_if(functions, internal::isSafeFunction);
        return StatementKind::Read;
    }

    // A COPY TO whose query writes cannot be confirmed: its response carries no log position.
    bool mayCopyWrite(const Json& copy, const std::vector<std::string>& functions)
    {
        const auto query = copy.find("query");
        return query != copy.end() && !(internal::isReadOnlyTree(*query) && std::all_of(functions.begin(), functions.end(), internal::isSafeFunction));
    }

    void classifyNode(const Json& statement, Classification& result)
    {
        auto functions = internal::calledFunctions(statement);
        if (std::any_of(functions.begin(), functions.end(), internal::isControlFunction) || hasUnparsedControlCall(statement)) {
            result.kind = StatementKind::Forbidden;
        } else if (statement.contains("TransactionStmt")) {
            result.kind = classifyTransaction(statement["TransactionStmt"]);
        } else if (statement.contains("VariableSetStmt")) {
            result.kind = StatementKind::Set;
            result.assignment = decodeAssignment(statement["VariableSetStmt"]);
        } else if (statement.contains("DiscardStmt")) {
            result.kind = StatementKind::Set;
            result.assignment = { .name = "all", .isReset = true };
        } else if (statement.contains("VariableShowStmt")) {
            result.kind = StatementKind::Show;
            result.assignment.name = toLower(statement["VariableShowStmt"].value("name", ""));
        } else if (statement.contains("CopyStmt")) {
            result.kind = mayCopyWrite(statement["CopyStmt"], functions) ? StatementKind::Unsupported : StatementKind::Copy;
            result.isCopyIn = statement["CopyStmt"].value("is_from", false);
        } else if (statement.contains("DeallocateStmt")) {
            result.kind = StatementKind::Deallocate;
            result.preparedName = statement["DeallocateStmt"].value("name", "");
        } else if (createsSessionState(statement, functions)) {
            result.kind = StatementKind::SessionState;
        } else if (statement.contains("SelectStmt")) {
            result.kind = classifySelect(statement, functions);
            if (result.kind == StatementKind::Read)
                result.unverifiedFunctions = std::move(functions);
        }
    }

    Classification classifyUnparsable(std::string_view text)
    {
        const auto kind = internal::mentionsControlFunction(text) ? StatementKind::Forbidden : StatementKind::Unparsable;
        return { .kind = kind, .text = std::string(text) };
    }

}

std::vector<Classification> classifyUnresolved(std::string_view text)
{
    const std::string input(text);
    const auto tree = internal::parseTree(input);
    if (!tree)
        return { classifyUnparsable(text) };
    std::vector<Classification> statements;
    if (const auto items = tree->find("stmts"); items != tree->end()) {
        for (const auto& item : *items) {
            const auto begin = item.value("stmt_location", std::size_t { 0 });
            const auto length = item.value("stmt_len", input.size() - begin);
            auto& result = statements.emplace_back();
            result.text = trim(text.substr(begin, length));
            classifyNode(item["stmt"], result);
        }
    }
    if (statements.empty())
        statements.push_back({ .kind = StatementKind::Empty });
    return statements;
}

void resolveFunctions(std::span<Classification> statements, std::span<const std::string> safeFunctions)
{
    for (auto& item : statements) {
        const auto isSafe = [&](const auto& name) { return std::find(safeFunctions.begin(), safeFunctions.end(), name) != safeFunctions.end(); };
        if (!std::all_of(item.unverifiedFunctions.begin(), item.unverifiedFunctions.end(), isSafe))
            item.kind = StatementKind::Write;
    }
}

std::vector<Classification> classify(std::string_view text, std::span<const std::string> safeFunctions)
{
    auto statements = classifyUnresolved(text);
    resolveFunctions(statements, safeFunctions);
    return statements;
}

}
