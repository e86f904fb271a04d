#pragma once

#include <rollout/requestguard.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace ragwortreach {

class fact_exchange;

/// Finds out whether a replica whose connection broke, or that did not answer in time, has ended, and which requests it
/// was running then.
///
/// It tries to connect to the address of the replica: a refused connection shows that the replica has ended, any other
/// outcome shows nothing.
class crash_watch : public request_guard {
public:
    crash_watch(boost::asio::io_context& context, fact_exchange& facts);
    ~crash_watch() override;

    request_standing standingOf(const request_digest& request) const override;
    bool isFleetInSight() const override;
    void noteInterrupted(const request_digest& request, const replica_instance& replica, const std::string& address, interruption kind) override;
    void noteAnswered(const request_digest& request) override;

private:
    struct probe;

    void connect(const replica_instance& replica);
    void connectAfter(const replica_instance& replica, std::chrono::milliseconds delay);
    void onConnected(const replica_instance& replica, const boost::system::error_code& error);
    /// Ends the probe. \a hasEnded: the replica has ended under the requests of the probe.
    void finish(const replica_instance& replica, bool hasEnded);

    boost::asio::io_context& m_context;
    fact_exchange& m_facts;
    std::map<replica_instance, std::unique_ptr<probe>> m_probes;
};

}
