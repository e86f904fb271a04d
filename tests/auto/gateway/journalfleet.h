#pragma once

#include "ratedlogclient.h"

#include <gateway/journal.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace ragwortreach {

/// Journals of many daemons behind one log, in virtual time.
class journal_fleet {
public:
    /// One daemon: its access to the log, and its journal.
    class daemon {
    public:
        daemon(journal_fleet& fleet, const std::string& name);

        rated_log_client& log() { return m_log; }
        journal& batches() { return m_journal; }
        /// Age of what the journal knows; the time since the epoch before it has read anything.
        duration age() const { return bootNow() - m_journal.confirmedAt(); }

    private:
        rated_log_client m_log;
        journal m_journal;
    };

    /// The log gives out \a bytesPerSecond for each of \a size daemons, and drops records of the age \a history.
    journal_fleet(std::size_t size, std::uint64_t bytesPerSecond, duration history = rated_log_options().history);

    /// Starts all daemons of the fleet at the same time.
    void start();
    virtual_time& time() { return m_time; }
    const virtual_time& time() const { return m_time; }
    rated_log& log() { return m_log; }
    /// Daemon that is not one of the fleet.
    daemon& writer() { return m_writer; }
    std::span<const std::unique_ptr<daemon>> daemons() const { return m_daemons; }

    /// Number of daemons whose journal is older than \a maxAge.
    std::size_t countOlder(duration maxAge) const;
    duration greatestAge() const;

private:
    boost::asio::io_context m_context;
    virtual_time m_time;
    rated_log m_log;
    daemon m_writer;
    std::vector<std::unique_ptr<daemon>> m_daemons;
};

}
