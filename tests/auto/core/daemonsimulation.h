#pragma once

#include <core/daemoncontext.h>
#include <core/daemoncore.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace ragwortreach::Test {

/// Answer that a caller, a trainer or an operator got.
struct received_answer {
    int httpStatus = 0;
    result_code code = result_code::Ok;
    std::string body;
};

/// How the next calls at the plain service end.
enum class service_behaviour {
    Answers,
    RunsThenBreaks,
    Unreachable,
};

/// Several daemon cores on one virtual clock, with the simplest outside systems that can fail.
class daemon_simulation {
public:
    explicit daemon_simulation(std::size_t daemons);
    ~daemon_simulation();

    void run(duration span);
    /// Runs until \a isDone, at most \a limit. Returns whether it came true.
    bool runUntil(const std::function<bool()>& isDone, duration limit);

    /// Sends a request to a daemon and returns its number.
    request_number ask(std::size_t daemon, const std::function<daemon_event(request_number)>& make);
    /// Answer to request \a number; nullptr while there is none.
    const received_answer* answer(request_number number) const;
    /// Submits an edit that puts an entry.
    /// Version that the replica on \a vm serves.
    weight_version weightsOf(const std::string& vm) const;
    request_number edit(std::size_t daemon, const std::string& recordId, const std::string& entry, std::uint64_t replaces, const std::string& body);

    void kill(std::size_t daemon);
    void start(std::size_t daemon);
    void freeze(std::size_t daemon);
    void thaw(std::size_t daemon);
    void drain(std::size_t daemon);
    bool isAlive(std::size_t daemon) const;
    const daemon_core& core(std::size_t daemon) const;
    std::size_t size() const { return m_nodes.size(); }

    bool isLogDown = false;
    /// Appends that take effect while their reply is lost.
    std::size_t lostReplies = 0;
    service_behaviour service = service_behaviour::Answers;
    duration serviceTime = std::chrono::milliseconds(2);
    /// Version that the engines start with.
    weight_version weights { 1, 7 };
    /// Version that the weight store lists; the one above while it has none.
    weight_version published;
    /// Daemons that ordered a replica to load weights.
    std::set<std::size_t> orderedBy;
    duration tokenTime = std::chrono::milliseconds(5);
    /// Links between daemons that are cut, as "from>to" numbers.
    std::set<std::pair<std::size_t, std::size_t>> cutLinks;
    /// Executions at the plain service by idempotency key.
    std::map<std::string, std::size_t> executions;
    std::size_t appends = 0;

private:
    struct node;
    struct effect_visitor;
    struct scheduled {
        instant at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const scheduled& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };

    void at(duration delay, std::function<void()> action);
    void deliver(std::size_t daemon, std::uint64_t life, daemon_event event);
    void later(std::size_t daemon, duration delay, daemon_event event);
    void tick(std::size_t daemon, std::uint64_t life);
    void readStream(std::size_t daemon, std::uint64_t life, const read_stream& effect, instant deadline);
    void appendStream(std::size_t daemon, const append_stream& effect);
    void askPeer(std::size_t daemon, const ask_peer& effect);
    void startAttempt(std::size_t daemon, const start_attempt& effect);
    void sendTokens(std::size_t daemon, std::uint64_t life, std::uint64_t stream, completion_request request, std::uint32_t sent);
    std::size_t daemonAt(const std::string& address) const;
    vm_list listOfVms() const;

    std::vector<std::unique_ptr<node>> m_nodes;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> m_schedule;
    std::map<std::string, std::vector<log_record>> m_log;
    std::map<request_number, received_answer> m_answers;
    std::map<request_number, std::string> m_keys;
    std::map<request_number, std::pair<std::size_t, request_number>> m_peerRequests;
    std::map<request_number, recorded_answer> m_serviceAnswers;
    std::map<std::string, weight_version> m_loaded;
    instant m_now { std::chrono::seconds(1000) };
    std::uint64_t m_order = 0;
    request_number m_lastNumber = 0;
};

}
