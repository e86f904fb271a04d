#pragma once

#include "accesswatch.h"
#include "batchhandler.h"
#include "batchloader.h"
#include "callrelay.h"
#include "factexchange.h"
#include "journal.h"
#include "platformview.h"
#include "progressstore.h"
#include "replicascaler.h"
#include "rewardcaller.h"
#include "streamfinder.h"
#include "usagereporter.h"
#include "weightorderer.h"
#include "workwatch.h"

#include <net/connectionguard.h>
#include <rollout/itemscheduler.h>

#include <string>

namespace ragwortreach {

/// Requests that were refused because of their keys, since the start of the process.
struct admission_counters {
    std::uint64_t unknownKeys = 0;
    /// Refused since a key may have been added or withdrawn that this daemon does not know of.
    std::uint64_t unconfirmedKeys = 0;
};

/// Sources of the metrics of one daemon.
struct gateway_readings {
    const call_counters& calls;
    const access_counters& access;
    const batch_counters& batches;
    const loader_counters& loads;
    const scheduler_counters& items;
    const reward_scheduler& rewards;
    const reward_latency& rewardLatency;
    const work_counters& work;
    const weight_counters& weights;
    const view_counters& view;
    const fact_exchange& facts;
    const stream_counters& streams;
    const journal_counters& journal;
    snapshot_counters journalSnapshots;
    const text_counters& texts;
    const progress_counters& progress;
    std::uint64_t keptAway = 0;
    std::uint64_t lateRefusals = 0;
    std::uint64_t outdatedRefusals = 0;
    admission_counters admissions;
    duty_counters duties;
    usage_counters usage;
    scaling_counters scaling;
    std::uint64_t configuration = 0;
    std::size_t openCalls = 0;
    std::size_t runs = 0;
    std::size_t recordsWaiting = 0;
    bool isReady = false;
    connection_counters callers;
    std::size_t connections = 0;
    std::size_t unfinishedBytes = 0;
    std::size_t bodyBytes = 0;
    const contents_cache& contents;
    /// Bytes of the stored contents of the loaded batches.
    std::uint64_t acceptedBytes = 0;
};

/// \a readings in the Prometheus text format, version 0.0.4.
std::string metricsText(const gateway_readings& readings);

}
