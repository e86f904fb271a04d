#pragma once

#include "store.h"

#include <random>
#include <set>

namespace review {

/// Data of an event of an item; the text of an item is the data of all its events, separated by line feeds.
std::string eventData(const std::string& item, int event);
std::string wholeText(const std::string& item, int events);

struct replica_options {
    std::string id;
    std::string service;
    /// Models of an engine; empty for a plain service.
    std::vector<std::string> models;
    int slots = 12;
    /// Of an engine.
    int eventsPerItem = 24;
    std::chrono::microseconds eventPause { 2000 };
    /// Of a plain replica: size of its answers, which it sends evenly over the time of its work. 0: a short answer at the
    /// end of the work.
    std::size_t answerBytes = 0;
};

/// Replica as the protocol page tells it. An engine runs items as streams of events; a plain one works for as many
/// milliseconds as the body of a request says.
class replica {
public:
    replica(store& platform, replica_options options);

    /// Part of the answers to items that have no length and end with their connection.
    void setUnframedShare(double share) { m_unframedShare = share; }
    /// Part of the answers to items that have a valid head and then bytes without end, until the caller closes.
    void setEndlessShare(double share) { m_endlessShare = share; }
    /// Work takes this many times as long.
    void setSlowness(double factor) { m_slowness = factor; }
    /// Number of times that a request with the body "deadly" has ended the replica; it is back after two seconds.
    int crashes() const { return m_crashes; }
    int endlessAnswers() const { return m_endlessAnswers; }
    int unframedAnswers() const { return m_unframed; }
    int runs() const { return m_runs; }
    /// Ids of the requests that were begun, with the number of runs.
    std::map<std::string, int> begun();

private:
    void beat();
    std::string modelsAsJson() const;
    bool answer(connection& peer, const http_message& request);
    bool runItem(connection& peer, const http_message& request);
    void crash();
    bool sendEvenly(connection& peer, const http_message& request, milliseconds work);
    bool sendEndless(connection& peer, const http_message& request);
    bool isSpoiled(double share);
    bool runPlain(connection& peer, const http_message& request);
    std::vector<std::pair<std::string, std::string>> headersFor(const http_message& request) const;

    store& m_platform;
    replica_options m_options;
    std::unique_ptr<server> m_server;
    std::atomic<std::int64_t> m_born;
    std::atomic<bool> m_isDown = false;
    std::atomic<int> m_crashes = 0;
    std::atomic<std::uint64_t> m_beats = 0;
    std::atomic<std::uint64_t> m_version = 1;
    std::atomic<std::uint64_t> m_orders = 0;
    std::atomic<int> m_active = 0;
    std::atomic<int> m_runs = 0;
    std::atomic<int> m_unframed = 0;
    std::atomic<double> m_unframedShare = 0;
    std::atomic<double> m_endlessShare = 0;
    std::atomic<double> m_slowness = 1;
    std::atomic<int> m_endlessAnswers = 0;
    std::mutex m_mutex;
    std::mt19937 m_random;
    std::map<std::string, int> m_begun;
};

}
