#pragma once

#include "replicapool.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Versions of the software that the replicas of each service had in the last minute, as far as this daemon has listed them.
///
/// While a daemon lists several versions of a service, it leaves a note on each stream that it begins. So a stream without a
/// note was begun while there was only one.
class software_history {
public:
    /// A stream that is resumed began within this time.
    static constexpr duration retention = std::chrono::seconds(60);
    /// Daemons list a change of the versions within this time of each other.
    static constexpr duration listingSpread = std::chrono::seconds(5);

    /// Notes what \a pool lists, the same one each time; to be called periodically.
    void observe(const replica_pool& pool, instant now);

    /// Whether several versions of \a service are listed, or were within listingSpread.
    bool hasSeveral(std::string_view service, instant now) const;
    /// Version of all streams of \a service, if no other one was listed for all of the retention time.
    std::optional<std::string> onlyVersion(std::string_view service, instant now) const;

    /// What is known of a stream without a note.
    struct unnoted_stream {
        std::string software;
        /// Begin of the first time in which several versions were listed; empty if there was none.
        std::optional<instant> severalSince;
    };
    /// Empty when streams without a note may be of different versions, or none was listed alone.
    std::optional<unnoted_stream> unnotedStream(std::string_view service) const;

private:
    /// Time in which the listed versions did not change.
    struct period {
        instant since {};
        std::set<std::string> versions;
    };
    using periods = std::deque<period>;

    const periods& periodsOf(std::string_view service) const;
    void noteListing(const replica_pool& pool, instant now);

    /// By service, the oldest first; without those that ended before the retention time.
    std::map<std::string, periods, std::less<>> m_services;
    /// Revision of the listing that was noted last.
    std::optional<std::uint64_t> m_noted;
};

}
