#pragma once

#include "storestandin.h"

#include <net/httpserver.h>

#include <set>
#include <string>

namespace ragwortreach::Tests {

/// A replica of the platform: runs items as streams of events, answers plain requests, takes orders of weights.
/// For the thread of its io_context.
class replica_standin {
public:
    /// Items whose id contains "long" have longEvents events, all others two.
    static constexpr int longEvents = 150;

    replica_standin(boost::asio::io_context& context, store_standin& store, std::string id, std::string service, std::string model);

    /// Writes the entry of the replica into the list.
    void list();

    /// Ids of the requests that began to run.
    const std::set<std::string>& started() const { return m_started; }
    /// Runs that went on after an event.
    int resumed() const { return m_resumed; }
    int orders() const { return m_orders; }
    /// Requests that began to run, each as often as it did.
    int runs() const { return m_runs; }
    /// The next plain request is answered only when this is called.
    void answerHeld();
    /// Answers what is held with a failure.
    void failHeld();
    void setHolding(bool isHolding) { m_isHolding = isHolding; }
    std::size_t held() const { return m_held.size(); }

private:
    void answer(const http_exchange& exchange);
    void stream(const http_exchange& exchange, int event, int last);
    std::vector<http_header> headersFor(const http_request& request) const;

    boost::asio::io_context& m_context;
    store_standin& m_store;
    std::string m_id;
    std::string m_service;
    std::string m_model;
    std::uint64_t m_version = 1;
    http_server m_server;
    std::set<std::string> m_started;
    std::vector<http_exchange> m_held;
    bool m_isHolding = false;
    int m_resumed = 0;
    int m_orders = 0;
    int m_runs = 0;
};

}
