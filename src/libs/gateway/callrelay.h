#pragma once

#include <net/httpclient.h>
#include <net/httpserver.h>
#include <platform/requestcodec.h>
#include <rollout/callpeers.h>
#include <rollout/callpolicy.h>
#include <rollout/replicagate.h>
#include <rollout/replicapool.h>
#include <rollout/requestguard.h>
#include <rollout/routetable.h>
#include <rollout/streamorigins.h>
#include <rollout/usagemeter.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace ragwortreach {

class log;

/// Counts since the start of the process.
struct call_counters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Calls that were refused for good, since replicas had ended under the same request.
    std::uint64_t quarantined = 0;
    /// Answers that were truncated after their first bytes had been sent.
    std::uint64_t truncated = 0;
    /// Calls whose caller disconnected.
    std::uint64_t callerGone = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    /// Calls that were taken with a configuration that was confirmed longer than a second ago.
    std::uint64_t behindConfiguration = 0;
    /// Attempts that were passed on to another daemon.
    std::uint64_t passedOn = 0;
    /// Calls that another daemon passed on to this one.
    std::uint64_t takenOver = 0;
};

/// Where a call comes from.
enum class call_source {
    Caller,
    /// Another daemon, which reaches no replica, passed it on.
    Peer,
};

/// Relays calls of customers to replicas, and the answers back.
///
/// A call is retried at another replica as far as its route allows: a call that may have run is repeated only on an
/// idempotent route, and a resumable stream continues after its last event, at a replica of the software version that began
/// it. A request under which replicas ended is kept apart from others, then tried alone, and in the end refused for good,
/// whichever call brings it.
///
/// While this daemon reaches no replica, calls are passed on to another daemon, which treats them as its own but passes them
/// on no further.
class call_relay {
public:
    call_relay(boost::asio::io_context& context, http_client& client, replica_pool& pool, replica_gate& gate, call_peers& peers, request_guard& guard, stream_origins& origins, const route_table& routes, log& log);
    ~call_relay();

    /// Relays the request of \a exchange, which belongs to \a route, and answers it there.
    void serve(const http_exchange& exchange, const route& route, const platform::caller_request& caller, call_source source);

    /// Lets \a meter count the requests that begin to run; it has to outlive the relay.
    void setUsageMeter(usage_meter& meter) { m_usage = &meter; }
    /// Lets no replica work longer than until \a end, for calls that are open as well as for further ones.
    void setEnd(instant end);
    /// Ends all calls with a final answer, since the daemon stops.
    void stop();

    std::size_t openCalls() const { return m_calls.size(); }
    const call_counters& counters() const { return m_counters; }

private:
    struct relayed_call;

    /// Resumes a stream that the caller takes up again, once it is known which software version began it.
    void resume(std::uint64_t number);
    void onOriginFound(std::uint64_t number, const std::string& software);
    /// Sends the call to a replica, waits for a permit of a limited one, or ends the call when no replica is free.
    /// \a permitted: limited replica for which the call has a permit.
    void startAttempt(std::uint64_t number, std::string_view permitted = {});
    /// Whether the call may go to a replica although two have ended under the same request.
    bool mayTryAlone(const relayed_call& call, instant now) const;
    void beginTrial(relayed_call& call);
    void endTrial(relayed_call& call);
    replica_criteria criteriaFor(const relayed_call& call) const;
    const replica_pool::replica* pickReplica(const relayed_call& call, std::string_view permitted, instant now) const;
    void sendTo(std::uint64_t number, const replica_pool::replica& replica);
    /// Whether an attempt of the call at a replica would most likely not reach it.
    bool isOutOfReach(const relayed_call& call) const;
    /// Passes the call on to another daemon; false when none can take it.
    bool sendToPeer(std::uint64_t number);
    /// Sends \a request to call.address. \a hasAlternative: another attempt can follow.
    void openAttempt(std::uint64_t number, http_request request, bool hasAlternative);
    /// Asks for a permit to send the call to a limited replica; false when none would take it.
    bool waitForPermit(std::uint64_t number, instant now);
    /// Longest time that the call waits for its turn at a limited replica. Who may wait longer reserves turns that are
    /// further ahead, so calls of the more urgent routes may wait longer.
    duration maxPermitWait(const relayed_call& call) const;
    void onPermit(std::uint64_t number, const permit_outcome& outcome);
    void onPermitDenied(std::uint64_t number, duration nextTurn);
    /// Ends a call that no replica takes.
    void endWithoutReplica(std::uint64_t number, std::string_view reason);
    void readHead(std::uint64_t number, const http_response_head& head);
    void readBody(std::uint64_t number, std::string_view piece);
    /// Whether the call goes to a model engine.
    bool isAtEngine(const relayed_call& call) const;
    /// Counts the call at the usage meter, once.
    void noteBegun(relayed_call& call);
    /// Takes the count back if the attempt that ends was the one that was counted.
    void noteNotBegun(relayed_call& call);
    void bindToReplica(relayed_call& call);
    /// Stops reading from the replica until the caller has taken what is queued.
    void pauseUntilDrained(relayed_call& call, std::uint64_t number);
    /// Cancels the attempt, since its bytes are not a valid answer to the call.
    void rejectAnswer(relayed_call& call, std::uint64_t number);
    static attempt_end classifyEnd(const relayed_call& call, const http_outcome& outcome);
    /// How an answer that another daemon gave itself ends the attempt.
    static attempt_end classifyPeerAnswer(int status);
    /// Notes how the attempt ended with the replica or the daemon that it was sent to.
    void noteAttemptEnd(const relayed_call& call, attempt_end end, instant now);
    void onAttemptDone(std::uint64_t number, const http_outcome& outcome);
    /// Decides after an attempt whether the call is answered, retried, refused or failed.
    void concludeAttempt(std::uint64_t number, attempt_end end, std::string_view detail);
    /// Ends the call with the answer of the replica.
    void forward(std::uint64_t number);
    /// Ends the call with 503: it has not run.
    void refuse(std::uint64_t number, std::string_view reason);
    /// Ends the call with a final refusal, or as failed if it may have run.
    void refuseForGood(std::uint64_t number);
    /// Ends the call as failed: it may have run.
    void fail(std::uint64_t number, int status, std::string_view reason);
    void onCallerGone(std::uint64_t number);
    void onTimeout(std::uint64_t number);
    /// Reports to the guard what the end of the attempt says about the request.
    void tellGuard(const relayed_call& call, attempt_end end, const http_outcome& outcome);
    void logInterruption(const relayed_call& call, const http_outcome& outcome) const;
    void logOutcome(const relayed_call& call, std::string_view outcome, std::string_view reason);
    void remove(std::uint64_t number);
    relayed_call* find(std::uint64_t number);
    /// Counts and logs a call that is taken with an old configuration: its route may have changed.
    void noteConfigurationAge(const relayed_call& call);

    boost::asio::io_context& m_context;
    http_client& m_client;
    replica_pool& m_pool;
    replica_gate& m_gate;
    call_peers& m_peers;
    request_guard& m_guard;
    stream_origins& m_origins;
    const route_table& m_routes;
    log& m_log;
    /// Open calls by number. Handlers look a call up by its number, since it may have ended meanwhile.
    std::map<std::uint64_t, std::unique_ptr<relayed_call>> m_calls;
    /// Services at which a call is tried alone.
    std::set<std::string, std::less<>> m_soloTrials;
    std::uint64_t m_lastNumber = 0;
    /// Newest version of the configuration by which another daemon has served a call of this one.
    std::uint64_t m_peerConfiguration = 0;
    instant m_end = instant::max();
    usage_meter* m_usage = nullptr;
    call_counters m_counters;
};

}
