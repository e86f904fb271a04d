#pragma once

#include <boost/beast/http/string_body.hpp>

#include <cstddef>

namespace ragwortreach::Internal {

/// Limit for the bytes of a connection that are read and not parsed yet, and for the head of a message. Whatever has to
/// arrive as a whole has to fit: a head, a chunk's size line with its extensions, and the trailer fields. Field values
/// have to stay under 64 KiB, or the parser throws.
inline constexpr std::size_t maxUnparsedBytes = std::size_t { 64 } * 1024;

/// Body in a string that takes memory as bytes arrive, and not as the head of the message announces.
struct growing_body : boost::beast::http::string_body {
    class reader : public boost::beast::http::string_body::reader {
    public:
        using boost::beast::http::string_body::reader::reader;

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error)
        {
            boost::beast::http::string_body::reader::init(boost::none, error);
        }
    };
};

}
