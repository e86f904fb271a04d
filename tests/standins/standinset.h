#pragma once

#include "standinserver.h"

#include <memory>
#include <string>
#include <vector>

namespace ragwortreach::StandIns {

using standin_server_ptr = std::shared_ptr<standin_server>;

/// Starts a stand-in of the platform: its log, VM list and weight store on one port. Settings: "vms", "models".
///
/// Faults; the value of an outage is true (status 503) or "silent" (no answer):
/// - /log: latency_ms, outage, lose_reply_after_write (count), appends_per_second, retention_records,
///   gap {"stream","first","last"}: reads leave out the records with first <= offset < last.
/// - /vm_list: lag_ms, outage, older_revision (serves the list from this many changes ago).
/// - /weight_store: rate_per_second (loads), outage, latency_ms.
standin_server_ptr startPlatform(boost::asio::io_context& context, const nlohmann::json& settings);

/// Starts a stand-in of a model engine with continuous batching: up to "slots" completions run at a time, the others
/// wait in the order of arrival. Settings: "model", "weights", "token_ms", "tokens", "slots", "weight_store",
/// "serves" (its role).
///
/// The token at a position depends only on the prompt and the seed. "max_tokens" limits the complete answer
/// including the tokens in "resume_token_ids", so a resumed request names the same "max_tokens" as the first one.
/// Each resumed token that differs from the one that the engine would produce is counted as "resume_mismatches".
/// Faults: crash (with crash_ms), swap_fails, swap_fails_partway (tokens alternate between both versions),
/// ignore_fencing, omit_weights, keep_cache (the prefix cache is kept after a swap), load_ms, load_lag_ms,
/// cache_lag_ms, cache_gap_every, die_mid_body, refuse_unrun, slow_ms (added to the time of each token; only for the
/// next slow_first_n completions if that is set).
standin_server_ptr startEngine(boost::asio::io_context& context, const nlohmann::json& settings);

/// Starts a stand-in of a plain service. It answers any request with the number of executions so far. Settings:
/// "service".
///
/// Faults: latency_ms (between the execution and the answer), refuse_unrun (status 503 and "X-Upstream-Ran: no"),
/// die_before_run, die_before_answer (closes the connection after the execution), die_mid_body, answer_twice.
standin_server_ptr startService(boost::asio::io_context& context, const nlohmann::json& settings);

/// Starts a stand-in of a scorer. The reward is a hash of the token ids, in [0, 1).
///
/// Faults: latency_ms, twice_latency (doubles it), never (no answer), answer_twice, outage.
standin_server_ptr startScorer(boost::asio::io_context& context, const nlohmann::json& settings);

/// Starts the stand-ins named in {"servers":[{"role":"platform|engine|service|scorer","listen":"ip:port",
/// "faults":{},...}]}, in that order. Throws std::exception when a role is unknown or a port is taken.
std::vector<standin_server_ptr> startStandIns(boost::asio::io_context& context, const nlohmann::json& settings);

/// Token at \a position of the answer to \a prompt with \a seed. It is the same for every engine and weight version.
std::uint32_t tokenAt(std::string_view prompt, std::uint64_t seed, std::uint64_t position);

}
