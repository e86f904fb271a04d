#pragma once

#include <rollout/softwarehistory.h>
#include <rollout/streamorigins.h>
#include <rollout/streamregistry.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ragwortreach {

class fact_exchange;

/// Totals since the start of the process.
struct stream_counters {
    /// Notes on streams that were sent to keepers.
    std::uint64_t shared = 0;
    /// Streams that callers took up again, and of these, streams whose version is not known.
    std::uint64_t searched = 0;
    std::uint64_t unknown = 0;
};

/// Finds which software version began a stream that a caller takes up again.
///
/// While several versions of a service are listed, daemons leave notes on the streams that they begin. A stream without a note
/// was begun while there was only one version.
class stream_finder : public stream_origins {
public:
    stream_finder(fact_exchange& facts, const replica_pool& pool, const std::string& vm);

    void noteBegun(const std::string& request, const std::string& service, const std::string& software) override;
    void find(const std::string& request, const std::string& service, std::function<void(const std::string& software)> onFound) override;
    /// To be called periodically.
    void tick();

    const stream_counters& counters() const { return m_counters; }

private:
    struct search {
        std::string service;
        std::function<void(const std::string& software)> onFound;
    };

    void executeEffects();
    void finish(const stream_found& found);
    std::string versionWithoutNote(std::string_view service, duration searchedBack) const;

    fact_exchange& m_facts;
    const replica_pool& m_pool;
    software_history m_history;
    stream_registry m_registry;
    std::map<stream_number, search> m_searches;
    stream_counters m_counters;
};

}
