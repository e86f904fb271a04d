#pragma once

#include "daemoncounters.h"
#include "daemoneffect.h"
#include "daemonevent.h"
#include "instant.h"

#include <memory>
#include <string>

namespace ragwortreach {

class batch_tracker;
class catalogue_reader;
class membership;
struct daemon_identity;

/// All decisions of one daemon, without sockets, files, threads or clocks.
///
/// Events and the present time go in, effects come out. Many daemons can run in one process, on any clock.
class daemon_core {
public:
    explicit daemon_core(const daemon_identity& identity);
    ~daemon_core();
    daemon_core(const daemon_core&) = delete;
    daemon_core& operator=(const daemon_core&) = delete;

    daemon_effects handle(const daemon_event& event, instant now);

    /// Whether callers may be sent here.
    bool isReady() const;
    bool isDraining() const;
    /// Whether a stop cuts nothing off: all calls are answered and batches handed over.
    bool isIdle() const;

    const catalogue_reader& catalogue() const;
    const membership& members() const;
    const daemon_counters& counters() const;
    /// JSON document about this daemon, its members, upstreams and batches.
    std::string status() const;
    /// JSON document that tells which VMs have applied the record at \a offset of the catalogue.
    std::string confirmations(std::uint64_t offset) const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

}
