#include "amaranthhall/statement/classification.hpp"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace amaranthhall;
using statement::StatementKind;

namespace {

StatementKind kindOf(std::string_view text, const std::vector<std::string>& safe = {})
{
    return statement::classify(text, safe).front().kind;
}

}

TEST_GROUP(Classification) {};

TEST(Classification, PlainSelectsAreReads)
{
    for (const auto* text : { "SELECT 1", "select a, b from t where a in (1, 2) order by b limit 3", "select count(*), max(x) from t group by y",
             "select * from a join b using (id)", "values (1), (2)", "with x as (select 1) select * from x union all select 2",
             "select pg_catalog.lower(a), coalesce(a, 'x')::text, current_date from t", "select $1::int", "/* traceparent='00' */ select 1" })
        CHECK_TEXT(kindOf(text) == StatementKind::Read, text);
}

TEST(Classification, StatementsThatMayModifyOrLockAreWrites)
{
    for (const auto* text : { "select * from t for update", "select * from t for share", "select nextval('s')", "select my_function(1)",
             "with x as (delete from t returning *) select * from x", "select * into y from t", "insert into t values (1)", "select random()",
             "select a from t where exists (select 1 from u for update)", "select other.lower(a) from t", "explain select 1", "create table t (a int)",
             "select 1 union all (select a from t for update)", "execute p(1)", "select * from xmltable('/a' passing x columns b int)" })
        CHECK_TEXT(kindOf(text) == StatementKind::Write, text);
}

TEST(Classification, ConfiguredSafeFunctionsDoNotMakeASelectAWrite)
{
    CHECK(kindOf("select fittings(1)", { "fittings" }) == StatementKind::Read);
    CHECK(kindOf("select stock.fittings(1)", { "fittings" }) == StatementKind::Write);
    CHECK(kindOf("select stock.fittings(1)", { "stock.fittings" }) == StatementKind::Read);
    CHECK(kindOf("select fittings(nextval('s'))", { "fittings" }) == StatementKind::Write);
}

TEST(Classification, ControlFunctionsAreForbiddenAnywhereInAStatement)
{
    for (const auto* text : { "select * from ah_status()", "select ah_fence(1, 'a')", "call ah_x()", "select pg_catalog.AH_STATUS()",
             "insert into t select 1 from standin_peers('x')", "do 'begin perform ah_fence(1); end'", "selec ah_status()", "explain select ah_status()" })
        CHECK_TEXT(kindOf(text) == StatementKind::Forbidden, text);
    CHECK(kindOf("select 'ah_status()'") == StatementKind::Read);
    CHECK(kindOf("select ah_number from cheetah_counts") == StatementKind::Read);
}

TEST(Classification, TransactionAndSessionStateStatementsAreRecognised)
{
    CHECK(kindOf("begin read only") == StatementKind::Begin);
    CHECK(kindOf("start transaction") == StatementKind::Begin);
    CHECK(kindOf("end") == StatementKind::Commit);
    CHECK(kindOf("abort") == StatementKind::Rollback);
    CHECK(kindOf("rollback to a") == StatementKind::Savepoint);
    CHECK(kindOf("commit and chain") == StatementKind::Unsupported);
    for (const auto* text : { "listen x", "create temp table x (a int)", "select pg_advisory_lock(1)", "declare c cursor with hold for select 1",
             "select set_config('a', 'b', false)", "prepare p as select 1", "select * from pg_temp.x", "select * into temp x from y" })
        CHECK_TEXT(kindOf(text) == StatementKind::SessionState, text);
    CHECK(kindOf("select pg_advisory_xact_lock(1)") == StatementKind::Write);
    CHECK(kindOf("copy t from stdin") == StatementKind::Copy);
    CHECK(statement::classify("copy t from stdin", {}).front().isCopyIn);
    CHECK(statement::classify("deallocate p", {}).front().preparedName == "p");
}

TEST(Classification, AssignmentsAreParsed)
{
    const auto set = statement::classify("SET Amaranthhall.Max_Stale = '5s'", {}).front();
    CHECK(set.kind == StatementKind::Set);
    CHECK(set.assignment.name == "amaranthhall.max_stale");
    CHECK(set.assignment.value == "5s");
    CHECK(statement::classify("set local x to 1", {}).front().assignment.isLocal);
    CHECK(statement::classify("set transaction read only", {}).front().assignment.isLocal);
    CHECK(statement::classify("reset x", {}).front().assignment.isReset);
    CHECK(statement::classify("discard all", {}).front().assignment.name == "all");
}

TEST(Classification, MultipleStatementsAreSplit)
{
    const auto several = statement::classify("insert into t values (';'); select 1 ;", {});
    CHECK_EQUAL(2, several.size());
    CHECK(several[0].text == "insert into t values (';')");
    CHECK(several[1].text == "select 1");
    CHECK(kindOf("") == StatementKind::Empty);
    CHECK(kindOf(" ; -- nothing") == StatementKind::Empty);
    CHECK(kindOf("selec 1") == StatementKind::Unparsable);
}

TEST(Classification, DeeplyNestedAndLongTextsAreUnparsable)
{
    std::string deep = "select 1";
    for (int i = 0; i < 20'000; ++i)
        deep += "+1";
    CHECK(kindOf(deep) == StatementKind::Unparsable);
    CHECK(kindOf("select '" + std::string(100'000, 'x') + "'") == StatementKind::Unparsable);
}
