#include <net/httpclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

DEFINE_string(direct, "127.0.0.1:19201", "address (ip:port) of the upstream, for the direct calls");
DEFINE_string(through, "127.0.0.1:18010", "address (ip:port) of the daemon's caller port");
DEFINE_string(target, "/v1/services/bobbin-shop/patterns/torchon", "request target of the calls through the daemon");
DEFINE_string(upstream_target, "/patterns/torchon", "request target of the direct calls");
DEFINE_int32(rate, 600, "calls a second, direct and through the daemon each");
DEFINE_int32(seconds, 10, "duration of the run in seconds");

namespace {

using namespace ragwortreach;
using clock_type = std::chrono::steady_clock;

/// Sends calls to one target at a fixed rate, without waiting for earlier answers, and records their latencies.
class call_path {
public:
    call_path(boost::asio::io_context& context, const std::string& address, std::string target)
        : m_client(context)
        , m_timer(context)
        , m_address(parseEndpoint(address).value_or(endpoint {}))
        , m_target(std::move(target))
    {
    }

    void run(clock_type::time_point start, clock_type::duration period, std::size_t calls)
    {
        m_next = start;
        m_period = period;
        m_left = calls;
        m_latencies.reserve(calls);
        schedule();
    }

    void report(const char* name)
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        std::printf("%-8s complete %zu failed %zu  p50 %.3f ms  p90 %.3f ms  p99 %.3f ms  max %.3f ms\n", name,
            m_latencies.size(), m_failures, quantile(0.5), quantile(0.9), quantile(0.99), quantile(1));
    }

    /// Latency in milliseconds that \a share of the successful calls do not exceed; 0 without such calls. Call
    /// report() first, which sorts the latencies.
    double quantile(double share) const
    {
        if (m_latencies.empty())
            return 0;
        const std::size_t index = static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1));
        return m_latencies[index];
    }

private:
    void schedule()
    {
        if (m_left == 0)
            return;
        --m_left;
        m_next += m_period;
        m_timer.expires_at(m_next);
        m_timer.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            call();
            schedule();
        });
    }

    void call()
    {
        http_request request;
        request.target = m_target;
        http_call_options options;
        options.timeout = std::chrono::seconds(5);
        const clock_type::time_point sent = clock_type::now();
        m_client.callBuffered(m_address, std::move(request), options, [this, sent](const http_outcome& outcome, const http_response& response) {
            if (outcome.code != result_code::Ok || response.status != 200) {
                ++m_failures;
                return;
            }
            m_latencies.push_back(std::chrono::duration<double, std::milli>(clock_type::now() - sent).count());
        });
    }

    http_client m_client;
    boost::asio::steady_timer m_timer;
    endpoint m_address;
    std::string m_target;
    clock_type::time_point m_next {};
    clock_type::duration m_period {};
    std::size_t m_left = 0;
    std::size_t m_failures = 0;
    std::vector<double> m_latencies;
};

/// Measures the latency that a daemon adds: the same calls direct and through it, interleaved at the same rate.
void runBench()
{
    boost::asio::io_context context(1);
    call_path direct(context, FLAGS_direct, FLAGS_upstream_target);
    call_path through(context, FLAGS_through, FLAGS_target);
    const std::chrono::nanoseconds period(1'000'000'000 / FLAGS_rate);
    const std::size_t calls = static_cast<std::size_t>(FLAGS_rate) * static_cast<std::size_t>(FLAGS_seconds);
    const clock_type::time_point start = clock_type::now();
    direct.run(start, period, calls);
    through.run(start + period / 2, period, calls);
    context.run();
    direct.report("direct");
    through.report("through");
    std::printf("added    p50 %.3f ms  p99 %.3f ms\n", through.quantile(0.5) - direct.quantile(0.5), through.quantile(0.99) - direct.quantile(0.99));
}

}

int main(int argc, char** argv)
{
    try {
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        runBench();
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "callbench: %s\n", error.what());
        return 1;
    }
}
