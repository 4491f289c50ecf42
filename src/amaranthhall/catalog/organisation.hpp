#pragma once

#include "amaranthhall/hashing/key_digest.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthhall::catalog {

/// @brief Limit of the operations that an organisation may run, over all daemons together.
struct OperationLimit {
    double perSecond { 0 };
    double burst { 0 }; ///< Operations that may run at once after a pause.

    friend bool operator==(const OperationLimit&, const OperationLimit&) = default;
};

/// @brief An organisation whose callers identify themselves with API keys.
struct Organisation {
    std::string name;
    std::optional<OperationLimit> limit; ///< Unlimited if absent.
};

/// @brief The organisations of a configuration and the digests of their keys.
class Organisations {
public:
    /// @brief Adds an organisation; one whose name is already present is ignored.
    void add(Organisation organisation);

    /// @brief Assigns a key to an organisation that was added; a key that another organisation already has stays there.
    void addKey(std::string_view organisation, const hashing::KeyDigest& key);

    /// @brief Returns the organisation that holds a key, or nullptr if none does.
    [[nodiscard]] const Organisation* findByKey(const hashing::KeyDigest& key) const noexcept;

    /// @brief Returns an organisation by its name, or nullptr if there is none.
    [[nodiscard]] const Organisation* find(std::string_view name) const noexcept;

    [[nodiscard]] const std::vector<Organisation>& all() const noexcept { return this->organisations; }

private:
    std::vector<Organisation> organisations;
    std::map<std::string, std::uint32_t, std::less<>> indexByName; ///< Into `organisations`.
    std::unordered_map<hashing::KeyDigest, std::uint32_t, hashing::KeyDigestHash> indexByKey; ///< Into `organisations`.
};

}
