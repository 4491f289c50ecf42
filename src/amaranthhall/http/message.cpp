#include "amaranthhall/http/message.hpp"

#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace amaranthhall::http {

namespace {

    struct FreeDeleter {
        void operator()(char* text) const noexcept { std::free(text); }
    };
    using CString = std::unique_ptr<char, FreeDeleter>;

}

std::string findQueryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        if (equals == std::string_view::npos)
            return {};
        const CString decoded(evhttp_uridecode(std::string(pair.substr(equals + 1)).c_str(), 1, nullptr));
        return decoded ? std::string(decoded.get()) : std::string();
    }
    return {};
}

std::string encodeQueryValue(std::string_view value)
{
    const CString encoded(evhttp_uriencode(value.data(), static_cast<ev_ssize_t>(value.size()), 0));
    return encoded ? std::string(encoded.get()) : std::string();
}

}
