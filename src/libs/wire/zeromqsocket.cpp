#include "zeromqsocket.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace ragwortreach::Internal {

zeromq_socket::zeromq_socket(boost::asio::io_context& context, zmq::context_t& library, zmq::socket_type type, std::function<void()> onReady)
    : m_context(context)
    , m_socket(library, type)
    , m_descriptor(context)
    , m_onReady(std::move(onReady))
{
}

zeromq_socket::~zeromq_socket()
{
    close();
}

void zeromq_socket::start()
{
    m_descriptor.assign(m_socket.get(zmq::sockopt::fd));
    wait();
    schedule();
}

void zeromq_socket::wait()
{
    m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
        [weak = weak_from_this()](const boost::system::error_code& error) {
            const std::shared_ptr<zeromq_socket> self = weak.lock();
            if (!self || error || self->m_isClosed)
                return;
            self->wait();
            self->run();
        });
}

void zeromq_socket::schedule()
{
    if (m_isScheduled || m_isClosed)
        return;
    m_isScheduled = true;
    boost::asio::post(m_context, [weak = weak_from_this()] {
        const std::shared_ptr<zeromq_socket> self = weak.lock();
        if (!self || self->m_isClosed)
            return;
        self->m_isScheduled = false;
        self->run();
    });
}

void zeromq_socket::run()
{
    const int events = m_socket.get(zmq::sockopt::events);
    if ((events & (ZMQ_POLLIN | ZMQ_POLLOUT)) != 0)
        m_onReady();
    if (!m_isClosed && isReadable())
        schedule();
}

bool zeromq_socket::isReadable() const
{
    return !m_isClosed && (m_socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

std::vector<zmq::message_t> zeromq_socket::receive()
{
    std::vector<zmq::message_t> parts;
    do {
        zmq::message_t part;
        if (!m_socket.recv(part, zmq::recv_flags::dontwait))
            return {};
        parts.push_back(std::move(part));
    } while (parts.back().more());
    return parts;
}

bool zeromq_socket::send(std::vector<zmq::message_t> parts)
{
    if (m_isClosed)
        return false;
    // The send may consume the signal of an arriving message, so the events are checked again.
    schedule();
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const bool isLast = index + 1 == parts.size();
        const zmq::send_flags flags = isLast ? zmq::send_flags::dontwait : zmq::send_flags::dontwait | zmq::send_flags::sndmore;
        if (!m_socket.send(parts[index], flags))
            return false;
    }
    return true;
}

void zeromq_socket::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    if (m_descriptor.is_open())
        m_descriptor.release();
    m_socket.close();
}

}
