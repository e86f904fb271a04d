#pragma once

#include <net/httpclient.h>
#include <net/httpserver.h>
#include <platform/requestcodec.h>
#include <rollout/callpolicy.h>
#include <rollout/eventstreamreader.h>
#include <rollout/replicapool.h>
#include <rollout/routetable.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>

namespace ragwortreach {

class log;

/// Sums since the start of the process.
struct call_counters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t broken = 0;
    std::uint64_t callerGone = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
};

/// Relays the calls of customers to replicas and their answers back.
class call_relay {
public:
    call_relay(boost::asio::io_context& context, http_client& client, replica_pool& pool, const route_table& routes, log& log);
    ~call_relay();

    /// Serves a call on \a route. The answer goes to \a exchange.
    void serve(const http_exchange& exchange, const route& route, const platform::caller_request& caller);

    std::size_t openCalls() const { return m_calls.size(); }
    const call_counters& counters() const { return m_counters; }

private:
    struct relayed_call;

    void startAttempt(std::uint64_t number);
    void readHead(std::uint64_t number, const http_response_head& head);
    void readBody(std::uint64_t number, std::string_view piece);
    void rejectAnswer(relayed_call& call, std::uint64_t number);
    void onAttemptDone(std::uint64_t number, const http_outcome& outcome);
    void concludeAttempt(std::uint64_t number, attempt_end end, std::string_view detail);
    void forwardEvents(relayed_call& call, std::string_view piece);
    void beginAnswer(relayed_call& call);
    void forward(std::uint64_t number);
    void refuse(std::uint64_t number, std::string_view reason);
    void fail(std::uint64_t number, int status, std::string_view reason);
    void onCallerGone(std::uint64_t number);
    void onTimeout(std::uint64_t number);
    void logOutcome(const relayed_call& call, std::string_view outcome, std::string_view reason);
    void remove(std::uint64_t number);
    relayed_call* find(std::uint64_t number);

    boost::asio::io_context& m_context;
    http_client& m_client;
    replica_pool& m_pool;
    const route_table& m_routes;
    log& m_log;
    std::map<std::uint64_t, std::unique_ptr<relayed_call>> m_calls;
    std::uint64_t m_lastNumber = 0;
    call_counters m_counters;
};

}
