#include "amaranthhall/statement/parse_tree.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <pg_query.h>

namespace amaranthhall::statement::internal {

namespace {

    constexpr std::size_t maximumTextSize = 65536; // longer chains of operators overflow the stack of the parser
    constexpr std::size_t maximumDepth = 1500; // nested brackets in the JSON of the parse tree
    constexpr std::string_view builtinSchema = "pg_catalog.";

    // Sorted for binary search. Node types that are not listed make a statement a write.
    constexpr auto readOnlyNodes = std::to_array<std::string_view>({
        "A_ArrayExpr",
        "A_Const",
        "A_Expr",
        "A_Indices",
        "A_Indirection",
        "A_Star",
        "Alias",
        "BitString",
        "BoolExpr",
        "Boolean",
        "BooleanTest",
        "CaseExpr",
        "CaseWhen",
        "CoalesceExpr",
        "CollateClause",
        "ColumnRef",
        "CommonTableExpr",
        "Float",
        "FuncCall",
        "GroupingFunc",
        "GroupingSet",
        "Integer",
        "JoinExpr",
        "List",
        "MinMaxExpr",
        "NamedArgExpr",
        "NullTest",
        "ParamRef",
        "RangeFunction",
        "RangeSubselect",
        "RangeVar",
        "ResTarget",
        "RowExpr",
        "SQLValueFunction",
        "SelectStmt",
        "SortBy",
        "String",
        "SubLink",
        "TypeCast",
        "TypeName",
        "WindowDef",
    });

    // Sorted for binary search. Built-in functions that modify nothing and take no lock.
    constexpr auto safeFunctions = std::to_array<std::string_view>({ "abs", "age", "array_agg", "array_length", "array_position", "array_to_string", "avg", "bit_length", "bool_and", "bool_or", "btrim", "cardinality",
        "ceil", "ceiling", "char_length", "character_length", "chr", "coalesce", "concat", "concat_ws", "count", "cume_dist", "current_schema", "date_part",
        "date_trunc", "dense_rank", "every", "exp", "extract", "first_value", "floor", "format", "generate_series", "greatest", "initcap", "json_agg",
        "json_array_length", "json_build_object", "json_object_agg", "jsonb_agg", "jsonb_array_length", "jsonb_build_object", "lag", "last_value", "lead",
        "least", "left", "length", "ln", "log", "lower", "lpad", "ltrim", "max", "md5", "min", "mod", "now", "nth_value", "ntile", "nullif", "octet_length",
        "overlay", "percent_rank", "percentile_cont", "percentile_disc", "position", "power", "rank", "regexp_replace", "repeat", "replace", "reverse", "right",
        "round", "row_number", "row_to_json", "rpad", "rtrim", "sign", "split_part", "sqrt", "stddev", "string_agg", "string_to_array", "strpos", "substr",
        "substring", "sum", "to_char", "to_date", "to_json", "to_jsonb", "to_number", "to_timestamp", "translate", "trim", "trunc", "unnest", "upper",
        "variance", "version" });

    struct ParseResultDeleter {
        void operator()(PgQueryParseResult* result) const noexcept { pg_query_free_parse_result(*result); }
    };

    std::string toLower(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return lower;
    }

    std::string joinQualifiedName(const Json& parts)
    {
        std::string name;
        for (const auto& part : parts) {
            if (!name.empty())
                name += '.';
            if (part.contains("String"))
                name += part["String"].value("sval", "");
        }
        return toLower(name);
    }

    std::string_view withoutBuiltinSchema(std::string_view name) noexcept
    {
        if (name.starts_with(builtinSchema))
            name.remove_prefix(builtinSchema.size());
        return name;
    }

    std::string_view unqualifiedName(std::string_view name) noexcept
    {
        const auto dot = name.rfind('.');
        return dot == std::string_view::npos ? name : name.substr(dot + 1);
    }

    template <typename Visitor>
    void visitObjects(const Json& node, const Visitor& visit)
    {
        if (node.is_object())
            visit(node);
        if (!node.is_structured())
            return;
        for (const auto& child : node)
            visitObjects(child, visit);
    }

    // Counts brackets outside of JSON strings, without recursion, so that trees too deep for the recursive functions are rejected beforehand.
    std::size_t nestingDepth(std::string_view json) noexcept
    {
        std::size_t depth = 0;
        std::size_t deepest = 0;
        bool isInString = false;
        for (std::size_t i = 0; i < json.size(); ++i) {
            const char character = json[i];
            if (character == '\\')
                ++i;
            else if (character == '"')
                isInString = !isInString;
            else if (!isInString && (character == '{' || character == '['))
                deepest = std::max(deepest, ++depth);
            else if (!isInString && (character == '}' || character == ']'))
                --depth;
        }
        return deepest;
    }

    bool isNodeName(std::string_view key) noexcept
    {
        return !key.empty() && std::isupper(static_cast<unsigned char>(key.front())) != 0;
    }

    bool isReadOnlyField(std::string_view key) noexcept
    {
        return key != "intoClause" && key != "lockingClause";
    }

}

std::optional<Json> parseTree(const std::string& text)
{
    if (text.size() > maximumTextSize)
        return std::nullopt;
    auto parsed = pg_query_parse(text.c_str());
    const std::unique_ptr<PgQueryParseResult, ParseResultDeleter> closer(&parsed);
    if (parsed.error || nestingDepth(parsed.parse_tree) > maximumDepth)
        return std::nullopt;
    return Json::parse(parsed.parse_tree);
}

std::vector<std::string> calledFunctions(const Json& tree)
{
    std::vector<std::string> names;
    visitObjects(tree, [&names](const Json& node) {
        if (const auto found = node.find("funcname"); found != node.end())
            names.push_back(joinQualifiedName(*found));
    });
    return names;
}

bool referencesTemporaryRelation(const Json& tree)
{
    bool found = false;
    visitObjects(tree, [&found](const Json& node) {
        if (node.contains("relname"))
            found = found || node.value("relpersistence", "") == "t" || node.value("schemaname", "").starts_with("pg_temp");
    });
    return found;
}

bool isReadOnlyTree(const Json& tree)
{
    if (!tree.is_structured())
        return true;
    if (tree.is_array())
        return std::all_of(tree.begin(), tree.end(), isReadOnlyTree);
    for (const auto& [key, child] : tree.items()) {
        const bool isAllowed = isNodeName(key) ? std::binary_search(readOnlyNodes.begin(), readOnlyNodes.end(), std::string_view(key)) : isReadOnlyField(key);
        if (!isAllowed || !isReadOnlyTree(child))
            return false;
    }
    return true;
}

bool isControlFunction(std::string_view name) noexcept
{
    const auto last = unqualifiedName(name);
    return last.starts_with("ah_") || last.starts_with("standin_");
}

bool mentionsControlFunction(std::string_view text)
{
    const auto lower = toLower(text);
    for (const std::string_view prefix : { "ah_", "standin_" }) {
        for (auto at = lower.find(prefix); at != std::string::npos; at = lower.find(prefix, at + 1)) {
            const bool startsWord = at == 0 || (std::isalnum(static_cast<unsigned char>(lower[at - 1])) == 0 && lower[at - 1] != '_');
            if (startsWord)
                return true;
        }
    }
    return false;
}

bool isSafeFunction(std::string_view name) noexcept
{
    return std::binary_search(safeFunctions.begin(), safeFunctions.end(), withoutBuiltinSchema(name));
}

bool leavesSessionState(std::string_view name) noexcept
{
    const auto unqualified = withoutBuiltinSchema(name);
    const bool isAdvisory = unqualified.starts_with("pg_advisory_") || unqualified.starts_with("pg_try_advisory_");
    return unqualified == "set_config" || (isAdvisory && unqualified.find("_xact_") == std::string_view::npos);
}

}
