#include "daemoncounters.h"

namespace ragwortreach {

namespace {

    constexpr std::array<std::string_view, daemonCounterCount> counterNames {
        "calls_received",
        "calls_answered",
        "calls_refused",
        "calls_broken",
        "calls_replayed",
        "attempts_started",
        "attempts_failed",
        "attempts_repeated",
        "batches_opened",
        "batches_restored",
        "batches_finished",
        "batches_handed_over",
        "fetches_received",
        "fetches_forwarded",
        "samples_delivered",
        "streams_started",
        "streams_failed",
        "streams_stopped",
        "scores_asked",
        "scores_failed",
        "records_appended",
        "appends_failed",
        "appends_unknown",
        "edits_submitted",
        "orders_sent",
        "orders_refused",
        "vm_list_failures",
    };

}

std::string_view toString(daemon_counter counter)
{
    return counterNames[static_cast<std::size_t>(counter)];
}

}
