#pragma once

#include "storestandin.h"

#include <net/httpserver.h>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace ragwortreach::Tests {

/// Stand-in of a replica of the users' platform. With a model it runs items as streams of events, each event with
/// the next part of the text, and accepts weight load orders. Without a model it answers plain requests. May only be
/// used on the thread of its io_context.
class replica_standin {
public:
    /// Number of events of an item whose id contains "long"; all other items have two.
    static constexpr int longEvents = 150;
    /// Part of the body of a plain request that ends the replica. It starts again after downTime, under its id.
    static constexpr std::string_view deadlyText = "poison";
    static constexpr std::chrono::milliseconds downTime { 500 };

    replica_standin(boost::asio::io_context& context, store_standin& store, std::string id, std::string service, std::string model, std::string software = "v1");

    /// Writes the entry of the replica to the topic keyed.servers of the store.
    void writeEntry();

    /// Ids of the requests that were started.
    const std::set<std::string>& startedIds() const { return m_started; }
    /// Organisations that the requests named, by the id of the request.
    const std::map<std::string, std::string>& organisations() const { return m_organisations; }
    /// Whether any request had the credentials of a caller.
    bool hasSeenCredentials() const { return m_hasSeenCredentials; }
    /// Number of runs that resumed after an earlier event (Last-Event-Id).
    int resumedRuns() const { return m_resumed; }
    /// Number of weight load orders that were accepted.
    int orderCount() const { return m_orders; }
    /// Number of runs of requests; a request that runs twice counts twice.
    int runs() const { return m_runs; }
    /// Answers all held plain requests.
    void answerHeld();
    /// Answers all held plain requests with status 500.
    void failHeld();
    /// While set, plain requests are held until answerHeld() or failHeld() is called.
    void setHolding(bool isHolding) { m_isHolding = isHolding; }
    /// Time between two events of a stream from now on.
    void setEventInterval(std::chrono::milliseconds interval) { m_eventInterval = interval; }
    /// Requests a second that the replica says in its answers to take from all daemons together; none when empty.
    void setLimit(std::optional<double> perSecond) { m_limit = perSecond; }
    /// While set, the replica says in its answers that it is leaving; its entry does not change.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    /// Number of times that a request ended the replica.
    int crashes() const { return m_crashes; }
    /// Number of plain requests that are held now.
    std::size_t heldCount() const { return m_held.size(); }

private:
    void startServer();
    void crash(const http_exchange& exchange);
    void answer(const http_exchange& exchange);
    /// Sends the events \a event to \a last, one every eventInterval.
    void stream(const http_exchange& exchange, int event, int last);
    std::vector<http_header> headersFor(const http_request& request) const;

    boost::asio::io_context& m_context;
    store_standin& m_store;
    std::string m_id;
    std::string m_service;
    std::string m_model;
    /// Version of the software that the entry names.
    std::string m_software;
    std::uint64_t m_version = 1;
    std::unique_ptr<http_server> m_server;
    /// Servers of earlier lives; their sessions may still be closing.
    std::vector<std::unique_ptr<http_server>> m_endedServers;
    boost::asio::steady_timer m_restartTimer;
    int m_startedAt = 1;
    int m_crashes = 0;
    std::set<std::string> m_started;
    std::map<std::string, std::string> m_organisations;
    bool m_hasSeenCredentials = false;
    std::vector<http_exchange> m_held;
    bool m_isHolding = false;
    std::chrono::milliseconds m_eventInterval { 20 };
    std::optional<double> m_limit;
    bool m_isLeaving = false;
    int m_resumed = 0;
    int m_orders = 0;
    int m_runs = 0;
};

}
