#include "amaranthhall/session/session_token.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace amaranthhall;

TEST_GROUP(SessionToken)
{
    const session::SessionToken token { .group = { .service = "coach-ledger", .instance = "2" }, .point = { .term = 3, .position = 77 } };
    const std::vector<std::string> keys { "first key", "second key" };
};

TEST(SessionToken, IsReadBackByEveryKey)
{
    CHECK(session::decodeToken(session::encodeToken(this->token, this->keys[0]), this->keys) == this->token);
    CHECK(session::decodeToken(session::encodeToken(this->token, this->keys[1]), this->keys) == this->token);
}

TEST(SessionToken, AnyChangeIsRefused)
{
    const auto text = session::encodeToken(this->token, this->keys[0]);
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto changed = text;
        changed[i] = changed[i] == '1' ? '2' : '1';
        CHECK(!session::decodeToken(changed, this->keys));
        CHECK(!session::decodeToken(text.substr(0, i), this->keys));
    }
    CHECK(!session::decodeToken(session::encodeToken(this->token, "other key"), this->keys));
}
