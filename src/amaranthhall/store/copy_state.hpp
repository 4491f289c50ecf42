#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/store/version.hpp"

namespace amaranthhall::store {

/// @brief How much of a table a daemon has, and until when it knows this to be all.
struct CopyState {
    Version newestRow; ///< Newest version of a row up to which it has all changes.
    freshness::Micros verifiedAt { 0 }; ///< Store time of the newest answer that shows that no change is missing; 0 if there was none.
    std::uint64_t verifiedVersion { 0 }; ///< Version of the store at that time, in the era of `newestRow`; 0 if unknown.

    friend bool operator==(const CopyState&, const CopyState&) = default;
};

}
