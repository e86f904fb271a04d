#include "httppost.h"

#include "httpserver.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <utility>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace ragwortreach::StandIns {

namespace {

    constexpr std::chrono::seconds postTimeout { 5 };

    class http_post : public std::enable_shared_from_this<http_post> {
    public:
        http_post(boost::asio::io_context& context, std::function<void(int)> done)
            : m_stream(context)
            , m_done(std::move(done))
        {
        }

        void start(const std::string& address, const std::string& path, const std::string& body)
        {
            m_request = { http::verb::post, path, 11 };
            m_request.set(http::field::host, address);
            m_request.body() = body;
            m_request.prepare_payload();
            m_stream.expires_after(postTimeout);
            m_stream.async_connect(parsedEndpoint(address), [self = shared_from_this()](error_code error) { self->write(error); });
        }

    private:
        void write(error_code error)
        {
            if (error) {
                m_done(0);
                return;
            }
            http::async_write(m_stream, m_request, [self = shared_from_this()](error_code, std::size_t) { self->read(); });
        }

        void read()
        {
            http::async_read(m_stream, m_buffer, m_response, [self = shared_from_this()](error_code error, std::size_t) {
                self->m_done(error ? 0 : static_cast<int>(self->m_response.result_int()));
            });
        }

        boost::beast::tcp_stream m_stream;
        boost::beast::flat_buffer m_buffer;
        http::request<http::string_body> m_request;
        http::response<http::string_body> m_response;
        std::function<void(int)> m_done;
    };

}

void postJson(boost::asio::io_context& context, const std::string& address, const std::string& path,
    const std::string& body, std::function<void(int)> done)
{
    std::make_shared<http_post>(context, std::move(done))->start(address, path, body);
}

}
