#include "gatewaymetrics.h"

#include "bootclock.h"

#include <support/metrics.h>

#include <span>
#include <vector>

namespace ragwortreach {

namespace {

    struct reading {
        metric_family family;
        std::uint64_t value = 0;
    };

    constexpr metric_family counter(std::string_view name, std::string_view help)
    {
        return { metric_kind::Counter, name, help };
    }

    constexpr metric_family gauge(std::string_view name, std::string_view help)
    {
        return { metric_kind::Gauge, name, help };
    }

    std::vector<reading> loadReadings(const loader_counters& loads)
    {
        return {
            { counter("ragwortreach_batches_loaded_total", "Batches whose contents were read to run them"), loads.loaded },
            { counter("ragwortreach_batch_loads_failed_total", "Reads of contents that the log did not answer"), loads.readFailures },
            { counter("ragwortreach_batches_unreadable_total", "Batches whose contents cannot be read"), loads.unreadable },
        };
    }

    std::vector<reading> contentsReadings(const contents_cache& contents, std::uint64_t acceptedBytes)
    {
        const contents_counters& counters = contents.counters();
        return {
            { gauge("ragwortreach_accepted_contents_bytes", "Bytes of the contents of the batches that the daemon runs, in the log"), acceptedBytes },
            { gauge("ragwortreach_item_contents_bytes", "Bytes of contents of items that are in memory for their runs"), contents.held() },
            { gauge("ragwortreach_item_contents_limit_bytes", "Bytes of contents of items that may be in memory"), contents.limit() },
            { counter("ragwortreach_item_contents_read_total", "Contents of items that were read again for their runs"), counters.read },
            { counter("ragwortreach_item_contents_read_bytes_total", "Bytes of these contents"), counters.readBytes },
            { counter("ragwortreach_item_contents_reads_failed_total", "Reads of contents of items that the log did not answer"), counters.readFailures },
            { counter("ragwortreach_item_contents_evicted_total", "Contents of items that gave way to others before they ended"), counters.evicted },
        };
    }

    std::vector<reading> textReadings(const text_counters& texts)
    {
        return {
            { counter("ragwortreach_result_texts_from_log_total", "Texts of results that were read from the log"), texts.fromLog },
            { counter("ragwortreach_result_texts_from_pages_total", "Texts of results that were read from pages of the log"), texts.fromPages },
            { counter("ragwortreach_result_texts_from_cache_total", "Texts of results that were kept"), texts.fromCache },
            { counter("ragwortreach_result_text_reads_failed_total", "Reads of texts that did not get all of them from the log"), texts.readFailures },
            { counter("ragwortreach_text_ranges_total", "Requests to the log for texts by their offsets"), texts.rangeRequests },
            { counter("ragwortreach_text_range_bytes_total", "Bytes that these requests asked for"), texts.rangeBytes },
            { counter("ragwortreach_text_pages_total", "Requests to the log for pages of texts"), texts.pageRequests },
            { counter("ragwortreach_text_page_bytes_total", "Bytes of keys and values in these pages"), texts.pageBytes },
            { counter("ragwortreach_text_requests_failed_total", "Requests of both kinds that the log did not answer"), texts.failedRequests },
            { counter("ragwortreach_text_requests_shared_total", "Times that a read of texts waited for the request of another one"), texts.sharedRequests },
        };
    }

    std::vector<reading> journalReadings(const journal_counters& journal, const snapshot_counters& snapshots)
    {
        return {
            { counter("ragwortreach_journal_records_total", "Records of the journal that were applied"), journal.recordsApplied },
            { counter("ragwortreach_journal_records_unreadable_total", "Records of the journal that were skipped"), journal.recordsUnreadable },
            { counter("ragwortreach_journal_batches_fetched_total", "Batches whose records were read by their keys"), journal.batchesFetched },
            { counter("ragwortreach_journal_fetched_pages_total", "Pages that were read for that"), journal.fetchedPages },
            { counter("ragwortreach_journal_fetched_bytes_total", "Bytes of keys and values in these pages"), journal.fetchedBytes },
            { counter("ragwortreach_journal_snapshots_total", "Snapshots of the journal that were read"), snapshots.snapshots },
            { counter("ragwortreach_journal_snapshot_pages_total", "Pages of these snapshots"), snapshots.pages },
            { counter("ragwortreach_journal_snapshot_bytes_total", "Bytes of keys and values in these pages"), snapshots.bytes },
            { counter("ragwortreach_journal_snapshot_pages_failed_total", "Pages that were requested and not received"), snapshots.failedPages },
        };
    }

    std::vector<reading> factReadings(const fact_exchange& facts)
    {
        const permit_counters& permits = facts.permits();
        return {
            { counter("ragwortreach_permits_granted_total", "Requests that got a permit for a replica with a limit"), permits.granted },
            { counter("ragwortreach_permits_denied_total", "Requests that got none, since all replicas were at their limits"), permits.denied },
            { counter("ragwortreach_permits_given_total", "Permits that this daemon gave out as the keeper of a replica"), permits.given },
            { counter("ragwortreach_permit_messages_unanswered_total", "Messages to keepers without an answer in time"), permits.unanswered },
            { counter("ragwortreach_facts_learned_total", "Facts about replicas that were news"), facts.counters().learned },
            { counter("ragwortreach_facts_received_total", "Facts about replicas from other daemons"), facts.counters().received },
            { counter("ragwortreach_fact_messages_malformed_total", "Messages of other daemons that cannot be read"), facts.counters().malformed },
            { counter("ragwortreach_gossip_sent_bytes_total", "Bytes of gossip that were sent"), facts.traffic().sentBytes },
            { counter("ragwortreach_gossip_received_bytes_total", "Bytes of gossip that were received"), facts.traffic().receivedBytes },
            { gauge("ragwortreach_requests_blamed", "Requests under which replicas ended and that no answer has cleared"), facts.quarantine().blamedCount() },
            { gauge("ragwortreach_requests_quarantined", "Requests that are not run, since three replicas ended under them"), facts.quarantine().quarantinedCount(bootNow()) },
            { gauge("ragwortreach_daemons_alive", "Daemons that are alive, this one included"), facts.daemons() },
        };
    }

    std::vector<reading> rewardReadings(const reward_scheduler& rewards, const reward_latency& latency)
    {
        return {
            { counter("ragwortreach_reward_calls_total", "Reward calls that were sent"), rewards.counters().sent },
            { counter("ragwortreach_reward_calls_scored_total", "Reward calls with a signed answer"), rewards.counters().scored },
            { counter("ragwortreach_reward_calls_failed_total", "Reward calls that the replica answered with a failure"), rewards.counters().failed },
            { counter("ragwortreach_reward_calls_not_run_total", "Reward calls that the replica did not run"), rewards.counters().notRun },
            { counter("ragwortreach_reward_calls_broken_total", "Reward calls without a whole answer in time"), rewards.counters().interrupted },
            { counter("ragwortreach_reward_calls_cancelled_total", "Reward calls that were cancelled"), rewards.counters().cancelled },
            { counter("ragwortreach_rewards_given_up_total", "Items that were given up since their reward calls failed"), rewards.counters().abandoned },
            { counter("ragwortreach_reward_latency_microseconds_total", "Time of the reward calls that were scored"), latency.microseconds },
            { gauge("ragwortreach_rewards_waiting", "Items with a whole text that wait for their reward"), rewards.waiting() },
            { gauge("ragwortreach_reward_calls_open", "Reward calls under way"), rewards.underWay() },
        };
    }

    std::vector<reading> workReadings(const work_counters& work)
    {
        return {
            { counter("ragwortreach_work_begun_total", "Runs of items and reward calls that were sent to replicas"), work.begun },
            { counter("ragwortreach_work_begun_older_500ms_total", "Of these, sent with a ledger older than 0.5 s"), work.olderThanHalfSecond },
            { counter("ragwortreach_work_begun_older_1s_total", "Of these, sent with a ledger older than 1 s"), work.olderThanOneSecond },
            { gauge("ragwortreach_work_begun_greatest_age_microseconds", "Greatest age of the ledger with which work was sent"), work.greatestAge },
            { counter("ragwortreach_work_begun_behind_configuration_total", "Runs and reward calls that were sent with a configuration confirmed over 1 s ago"), work.behindConfiguration },
        };
    }

    std::vector<reading> dutyReadings(const duty_counters& duties, const usage_counters& usage, const scaling_counters& scaling)
    {
        return {
            { counter("ragwortreach_duty_calls_total", "Calls to the platform that one daemon at a time makes"), duties.sent },
            { counter("ragwortreach_duty_calls_done_total", "Of these, calls that the platform carried out"), duties.done },
            { counter("ragwortreach_duty_calls_refused_total", "Of these, calls that were refused for their fencing token, or since what was ordered is not available"), duties.refused },
            { counter("ragwortreach_duty_calls_too_many_total", "Of these, calls that were refused since the fleet calls too often"), duties.tooMany },
            { counter("ragwortreach_duty_calls_unanswered_total", "Of these, calls without a usable answer in time"), duties.unanswered },
            { counter("ragwortreach_usage_windows_added_total", "Windows of usage that were added up here"), usage.added },
            { counter("ragwortreach_usage_windows_incomplete_total", "Of these, windows that a process had not closed in time"), usage.incomplete },
            { counter("ragwortreach_usage_reports_accepted_total", "Reports of usage that the platform accepted from this daemon"), usage.accepted },
            { counter("ragwortreach_usage_records_unreadable_total", "Records of usage that were skipped"), usage.unreadable },
            { counter("ragwortreach_replica_orders_total", "Orders of a number of replicas that this daemon sent"), scaling.ordered },
            { counter("ragwortreach_replica_orders_accepted_total", "Of these, orders that the platform accepted"), scaling.accepted },
            { counter("ragwortreach_replica_orders_unavailable_total", "Of these, orders of spot replicas when there were none"), scaling.unavailable },
        };
    }

    std::vector<reading> connectionReadings(const gateway_readings& from)
    {
        return {
            { counter("ragwortreach_connections_closed_unfinished_total", "Connections that were closed since the unfinished requests of all held too many bytes"), from.callers.closedForBytes },
            { counter("ragwortreach_pipelines_discarded_total", "Connections whose pipelined requests were discarded for the same reason"), from.callers.pipelinesDiscarded },
            { counter("ragwortreach_connections_closed_unread_total", "Connections that were closed since answers that callers had not read held too many bytes"), from.callers.closedForUnread },
            { counter("ragwortreach_connections_closed_bodies_total", "Connections that were closed since their unfinished bodies took the room of others"), from.callers.closedForBodies },
            { counter("ragwortreach_connections_closed_crowd_total", "Connections that were closed since too many were open"), from.callers.closedForCount },
            { counter("ragwortreach_accepts_failed_total", "Times that accepting a connection failed, mostly for want of file descriptors"), from.callers.acceptsFailed },
            { counter("ragwortreach_heads_too_large_total", "Requests that were refused since their head is larger than the limit"), from.callers.headersTooLarge },
            { counter("ragwortreach_malformed_requests_total", "Requests that were refused since they cannot be parsed"), from.callers.malformed },
            { gauge("ragwortreach_connections_open", "Connections of callers, of all ports"), from.connections },
            { gauge("ragwortreach_unfinished_request_bytes", "Bytes of unfinished requests that the daemon holds"), from.unfinishedBytes },
            { gauge("ragwortreach_body_bytes", "Bytes of bodies and waiting answers that the daemon holds for callers"), from.bodyBytes },
        };
    }

    void add(metrics& all, std::span<const reading> readings)
    {
        for (const reading& item : readings) {
            if (item.family.kind == metric_kind::Gauge)
                all.set(item.family, {}, static_cast<double>(item.value));
            else
                all.add(item.family, {}, static_cast<double>(item.value));
        }
    }

    std::vector<reading> progressReadings(const progress_counters& progress)
    {
        return {
            { counter("ragwortreach_item_texts_saved_total", "Texts so far that were saved for a later owner"), progress.saved },
            { counter("ragwortreach_item_texts_handed_over_total", "Texts so far that were handed over to a later owner"), progress.handedOver },
            { counter("ragwortreach_item_text_bytes_handed_over_total", "Bytes of the texts so far that were handed over"), progress.handedOverBytes },
            { counter("ragwortreach_item_texts_too_large_total", "Times that a text so far was not saved since it does not fit into a record"), progress.tooLarge },
            { counter("ragwortreach_item_texts_recovered_total", "Texts so far that an earlier owner left"), progress.recovered },
            { counter("ragwortreach_item_recoveries_resumed_total", "Reads of the texts so far that went on after a failure"), progress.recoveriesResumed },
            { counter("ragwortreach_item_recoveries_failed_total", "Takeovers at which the log did not give the texts so far"), progress.recoveriesFailed },
        };
    }

    std::vector<reading> callReadings(const gateway_readings& from)
    {
        return {
            { counter("ragwortreach_calls_arrived_total", "Calls of customers that arrived"), from.calls.arrived },
            { counter("ragwortreach_calls_answered_total", "Calls with a replica's whole answer"), from.calls.answered },
            { counter("ragwortreach_calls_refused_total", "Calls that were refused and have not run"), from.calls.refused },
            { counter("ragwortreach_late_requests_refused_total", "Requests that were refused since the daemon stops before they may have ended"), from.lateRefusals },
            { counter("ragwortreach_outdated_requests_refused_total", "Requests that were refused since a newer configuration than the one read here is in force, or may be while the log refuses this daemon"), from.outdatedRefusals },
            { counter("ragwortreach_requests_with_unknown_key_total", "Requests that were refused since no organisation has their key"), from.admissions.unknownKeys },
            { counter("ragwortreach_requests_with_unconfirmed_key_total", "Requests that were refused since their key may have been added or withdrawn while the log could not be read"), from.admissions.unconfirmedKeys },
            { counter("ragwortreach_calls_quarantined_total", "Calls that were refused for good, since replicas ended under the same request"), from.calls.quarantined },
            { counter("ragwortreach_calls_failed_total", "Calls whose outcome is not known"), from.calls.failed },
            { counter("ragwortreach_calls_broken_total", "Answers that broke after their begin"), from.calls.truncated },
            { counter("ragwortreach_calls_caller_gone_total", "Calls whose caller left"), from.calls.callerGone },
            { counter("ragwortreach_call_attempts_total", "Attempts of calls at replicas"), from.calls.attempts },
            { counter("ragwortreach_call_retries_total", "Attempts after the first one"), from.calls.retries },
            { counter("ragwortreach_calls_passed_on_total", "Attempts of calls that went to another daemon, since this one reached no replica"), from.calls.passedOn },
            { counter("ragwortreach_calls_taken_over_total", "Calls that another daemon passed on to this one"), from.calls.takenOver },
            { counter("ragwortreach_access_checks_total", "Connections to replicas that were opened to see whether they can be reached"), from.access.checks },
            { counter("ragwortreach_access_losses_total", "Times that no replica could be reached any more"), from.access.losses },
            { counter("ragwortreach_stream_notes_sent_total", "Streams whose software version was noted at other daemons"), from.streams.shared },
            { counter("ragwortreach_streams_taken_up_total", "Streams that callers took up again"), from.streams.searched },
            { counter("ragwortreach_streams_of_unknown_version_total", "Of these, refused since the software version that began them is not known"), from.streams.unknown },
            { counter("ragwortreach_calls_behind_configuration_total", "Calls that were taken with a configuration confirmed over 1 s ago"), from.calls.behindConfiguration },
        };
    }

    std::vector<reading> batchReadings(const batch_counters& batches)
    {
        return {
            { counter("ragwortreach_batches_accepted_total", "Batches that were accepted here"), batches.accepted },
            { counter("ragwortreach_batches_repeated_total", "Submissions of batches that were accepted before"), batches.repeated },
            { counter("ragwortreach_batches_refused_total", "Batches that were refused"), batches.refused },
            { counter("ragwortreach_batches_unknown_total", "Batches whose record got no answer"), batches.unknownOutcome },
            { counter("ragwortreach_batches_ended_total", "Batches that were ended here"), batches.ended },
            { counter("ragwortreach_result_reads_total", "Reads of results"), batches.reads },
            { counter("ragwortreach_result_reads_unsure_total", "Reads that were refused since the ledger was behind"), batches.staleReads },
            { counter("ragwortreach_result_reads_shortened_total", "Reads that were answered without the results whose texts were not read in time"), batches.shortenedReads },
        };
    }

    std::vector<reading> itemReadings(const scheduler_counters& items)
    {
        return {
            { counter("ragwortreach_item_runs_total", "Runs of items at replicas"), items.runsStarted },
            { counter("ragwortreach_item_runs_resumed_total", "Runs that went on after an event"), items.runsResumed },
            { counter("ragwortreach_item_runs_resumed_at_other_version_total", "Of these, at a replica of another software version than wrote the text"), items.runsResumedAtOtherVersion },
            { counter("ragwortreach_item_runs_stalled_total", "Runs that were moved since no event came"), items.runsStalled },
            { counter("ragwortreach_item_runs_moved_total", "Runs that went on at a faster replica"), items.runsMoved },
            { counter("ragwortreach_item_runs_not_run_total", "Runs that the replica did not start"), items.runsNotRun },
            { counter("ragwortreach_item_runs_broken_total", "Runs whose stream broke"), items.runsInterrupted },
            { counter("ragwortreach_items_completed_total", "Items with a whole text"), items.itemsCompleted },
            { counter("ragwortreach_items_abandoned_total", "Items that were given up"), items.itemsAbandoned },
            { counter("ragwortreach_item_texts_dropped_total", "Texts that were dropped: their weights do not suit the batch, they are too large, or no replica of their software version takes them"), items.textsDropped },
            { counter("ragwortreach_item_texts_reused_total", "Texts that went on from an earlier batch"), items.textsReused },
            { counter("ragwortreach_item_results_reused_total", "Results that were taken from an earlier batch"), items.resultsReused },
            { counter("ragwortreach_items_handed_over_total", "Items whose text was left to another daemon"), items.handedOver },
        };
    }

}

std::string metricsText(const gateway_readings& from)
{
    const reading readings[] = {
        { counter("ragwortreach_weight_orders_total", "Orders of weights that were sent"), from.weights.ordersSent },
        { counter("ragwortreach_weight_orders_accepted_total", "Orders of weights that were accepted"), from.weights.ordersAccepted },
        { counter("ragwortreach_weight_orders_unknown_total", "Orders of weights without an answer"), from.weights.ordersUnknown },
        { counter("ragwortreach_weight_orders_refused_total", "Orders of weights that were refused"), from.weights.ordersRefused },
        { counter("ragwortreach_requests_kept_away_total", "Times that a replica was passed over since it had announced its leaving, though listed as ready"), from.keptAway },
        { counter("ragwortreach_configurations_total", "Configurations that came in force"), from.view.configurations },
        { counter("ragwortreach_replica_entries_total", "Entries of replicas that were read"), from.view.replicaEntries },
        { counter("ragwortreach_replica_entries_late_total", "Entries of replicas that were older than one that was read before"), from.view.lateEntries },
        { counter("ragwortreach_platform_records_unreadable_total", "Records of the platform that were skipped"), from.view.unreadable },
        { gauge("ragwortreach_configuration_version", "Version of the configuration in force"), from.configuration },
        { gauge("ragwortreach_calls_open", "Calls under way"), from.openCalls },
        { gauge("ragwortreach_item_runs_open", "Runs of items under way"), from.runs },
        { gauge("ragwortreach_journal_records_waiting", "Records that are not in the journal yet"), from.recordsWaiting },
        { gauge("ragwortreach_ready", "1 when the daemon is ready"), from.isReady ? 1U : 0U },
    };
    metrics all;
    add(all, callReadings(from));
    add(all, batchReadings(from.batches));
    add(all, itemReadings(from.items));
    add(all, readings);
    add(all, journalReadings(from.journal, from.journalSnapshots));
    add(all, textReadings(from.texts));
    add(all, progressReadings(from.progress));
    add(all, loadReadings(from.loads));
    add(all, contentsReadings(from.contents, from.acceptedBytes));
    add(all, factReadings(from.facts));
    add(all, rewardReadings(from.rewards, from.rewardLatency));
    add(all, workReadings(from.work));
    add(all, dutyReadings(from.duties, from.usage, from.scaling));
    add(all, connectionReadings(from));
    return all.prometheusText();
}

}
