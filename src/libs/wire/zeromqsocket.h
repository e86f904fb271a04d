#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace ragwortreach::Internal {

/// ZeroMQ socket that is driven by an io_context through ZMQ_FD.
///
/// ZMQ_FD only signals that ZMQ_EVENTS may have changed, and it signals each change once (edge-triggered). Therefore
/// the events are read again after each send and receive until none is left, and only then awaited.
class zeromq_socket : public std::enable_shared_from_this<zeromq_socket> {
public:
    /// Calls \a onReady on the thread of \a context when the socket may be read or written.
    zeromq_socket(boost::asio::io_context& context, zmq::context_t& library, zmq::socket_type type, std::function<void()> onReady);
    ~zeromq_socket();
    zeromq_socket(const zeromq_socket&) = delete;
    zeromq_socket& operator=(const zeromq_socket&) = delete;

    zmq::socket_t& socket() { return m_socket; }
    /// Starts waiting for events.
    void start();
    /// Whether a message is waiting.
    bool isReadable() const;
    /// Receives all parts of one message; empty when none is waiting.
    std::vector<zmq::message_t> receive();
    /// Sends all \a parts without blocking. Returns false when the socket cannot take them now.
    bool send(std::vector<zmq::message_t> parts);
    /// Closes the socket; \a onReady is not called again.
    void close();

private:
    void wait();
    /// Posts a call of run().
    void schedule();
    /// Reads ZMQ_EVENTS and calls the handler when the socket is ready.
    void run();

    boost::asio::io_context& m_context;
    zmq::socket_t m_socket;
    boost::asio::posix::stream_descriptor m_descriptor;
    std::function<void()> m_onReady;
    bool m_isScheduled = false;
    bool m_isClosed = false;
};

}
