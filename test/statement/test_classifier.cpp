#include "amaranthhall/statement/classifier.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(Classifier) {};

TEST(Classifier, CachesTheMostRecentlyUsedTexts)
{
    statement::Classifier classifier({ .maximumEntries = 2, .maximumTextSize = 16 });
    const auto first = classifier.classify("select 1", {});
    static_cast<void>(classifier.classify("select 2", {}));
    CHECK(first == classifier.classify("select 1", {}));
    static_cast<void>(classifier.classify("select 3", {}));
    CHECK(first == classifier.classify("select 1", {}));
    static_cast<void>(classifier.classify("select 1234567890123", {}));
    CHECK_EQUAL(2, classifier.size());
}

TEST(Classifier, AppliesTheCurrentSafeFunctionsToCachedTexts)
{
    statement::Classifier classifier;
    const std::vector<std::string> safe { "fittings" };
    CHECK(classifier.classify("select fittings(1)", {})->front().kind == statement::StatementKind::Write);
    CHECK(classifier.classify("select fittings(1)", safe)->front().kind == statement::StatementKind::Read);
    CHECK(classifier.classify("select fittings(1)", {})->front().kind == statement::StatementKind::Write);
}
