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

/// Answer that a caller, a trainer or an operator received.
struct received_answer {
    int httpStatus = 0;
    result_code code = result_code::Ok;
    std::string body;
};

/// Outcome of calls at the simulated plain service.
enum class service_behaviour {
    /// The service executes the call and answers it.
    Answers,
    /// The service executes the call, then the connection is interrupted.
    InterruptedAfterRun,
    /// The call is not executed.
    Unreachable,
};

/// Simulates several daemon cores on virtual time with the systems around them: network, log, VM list, weight store,
/// engines, a scorer and a plain service.
///
/// The public data members set the behaviour of these systems, including faults, and count what happened.
class daemon_simulation {
public:
    explicit daemon_simulation(std::size_t daemons);
    ~daemon_simulation();

    void run(duration span);
    /// Runs until \a isDone returns true, for at most \a limit. Returns whether it did.
    bool runUntil(const std::function<bool()>& isDone, duration limit);

    /// Sends a request to a daemon and returns its number, from which \a make builds the event.
    request_number sendRequest(std::size_t daemon, const std::function<daemon_event(request_number)>& make);
    /// Answer to request \a number; nullptr while there is none.
    const received_answer* answer(request_number number) const;
    /// Version that the replica on \a vm serves.
    weight_version weightsOf(const std::string& vm) const;
    /// Submits an edit of the catalogue that puts \a entry in place of the revision \a replaces.
    request_number submitEdit(std::size_t daemon, const std::string& recordId, const std::string& entry, std::uint64_t replaces, const std::string& body);

    /// Ends the process at once.
    void kill(std::size_t daemon);
    /// Starts a new process instance.
    void start(std::size_t daemon);
    /// Suspends the process; its events are queued until resume().
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);
    void drain(std::size_t daemon);
    bool isAlive(std::size_t daemon) const;
    const daemon_core& core(std::size_t daemon) const;
    std::size_t size() const { return m_nodes.size(); }

    bool isLogDown = false;
    /// Number of further appends that are written while their replies are lost.
    std::size_t lostReplies = 0;
    service_behaviour service = service_behaviour::Answers;
    /// Time from the start of a call at the plain service to its end.
    duration serviceTime = std::chrono::milliseconds(2);
    /// Version that the engines serve at first.
    weight_version weights { 1, 7 };
    /// Version in the weight store; ignored while it is older than \c weights.
    weight_version publishedWeights;
    /// Daemons that sent a weight load order.
    std::set<std::size_t> orderedBy;
    /// Time in which an engine generates one token.
    duration tokenTime = std::chrono::milliseconds(5);
    /// Directed links between daemons that lose all messages, as pairs of sender and receiver.
    std::set<std::pair<std::size_t, std::size_t>> cutLinks;
    /// Number of executions at the plain service, by idempotency key.
    std::map<std::string, std::size_t> executions;
    /// Number of appends that the log wrote.
    std::size_t appends = 0;

private:
    struct node;
    struct effect_visitor;
    struct scheduled {
        instant at;
        /// Keeps actions of the same time in the order in which they were scheduled.
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const scheduled& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };

    /// Schedules \a action.
    void at(duration delay, std::function<void()> action);
    /// Passes \a event to the daemon and carries out the effects, unless another process instance has started.
    void deliver(std::size_t daemon, std::uint64_t instance, daemon_event event);
    void deliverAfter(std::size_t daemon, duration delay, daemon_event event);
    void tick(std::size_t daemon, std::uint64_t instance);
    void readStream(std::size_t daemon, std::uint64_t instance, const read_stream& effect, instant deadline);
    void appendStream(std::size_t daemon, const append_stream& effect);
    void askPeer(std::size_t daemon, const ask_peer& effect);
    void startAttempt(std::size_t daemon, const start_attempt& effect);
    void sendTokens(std::size_t daemon, std::uint64_t instance, std::uint64_t stream, completion_request request, std::uint32_t sent);
    std::size_t daemonAt(const std::string& address) const;
    vm_list makeVmList() const;

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
