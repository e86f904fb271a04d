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

/// Decision logic of one daemon, without sockets, files, threads or clocks.
///
/// It takes events with the current time and returns effects for the caller to carry out, so many daemons can run
/// in one process on virtual time.
class daemon_core {
public:
    explicit daemon_core(const daemon_identity& identity);
    ~daemon_core();
    daemon_core(const daemon_core&) = delete;
    daemon_core& operator=(const daemon_core&) = delete;

    daemon_effects handle(const daemon_event& event, instant now);

    /// Whether this daemon may receive requests: it is not draining and has read the VM list and the catalogue.
    bool isReady() const;
    bool isDraining() const;
    /// Whether a stop interrupts no work: all calls are answered and all batches are handed over.
    bool isIdle() const;

    const catalogue_reader& catalogue() const;
    const membership& members() const;
    const daemon_counters& counters() const;
    /// JSON document about this daemon, its members, upstreams and batches.
    std::string status() const;
    /// JSON document that tells for each VM whether it has applied the record at \a offset of the catalogue stream.
    std::string confirmations(std::uint64_t offset) const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

}
