#pragma once

#include "virtualtime.h"

#include <rollout/sharedlog.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace ragwortreach {

/// How the log treats the calls of one daemon.
enum class log_access {
    Serving,
    /// Each call is answered with a refusal at once.
    Refusing,
    /// No call gets an answer.
    Silent,
    /// Answers show the log as it was some seconds ago.
    Stale,
};

/// The operators' topic in virtual time: versions of one configuration, one record each.
class operator_log {
public:
    explicit operator_log(virtual_time& time);

    void write(std::uint64_t version);
    /// Drops the history; the newest record stays.
    void compact() { m_firstRetained = m_writtenAt.size(); }

    /// Access of one daemon to the log.
    class client : public shared_log {
    public:
        explicit client(operator_log& log);

        void setAccess(log_access access) { m_access = access; }

        void append(const topic_partition& partition, const append_identity& identity, std::span<const keyed_record> records,
            std::function<void(const append_outcome&)> onDone) override;
        void read(const topic_partition& partition, const read_range& range, read_handlers handlers) override;
        void readNewest(const topic_partition& partition, const newest_range& range, std::function<void(const newest_outcome&)> onDone) override;

    private:
        /// Number of records that this daemon is shown.
        std::uint64_t visibleEnd() const;
        read_outcome answer(const read_range& range) const;

        operator_log& m_log;
        log_access m_access = log_access::Serving;
    };

private:
    keyed_record recordAt(std::uint64_t offset) const;

    virtual_time& m_time;
    std::vector<instant> m_writtenAt;
    std::vector<std::uint64_t> m_versions;
    std::uint64_t m_firstRetained = 0;
};

}
