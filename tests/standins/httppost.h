#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace ragwortreach::StandIns {

/// Posts \a body to http://\a address \a path and calls \a done with the status, 0 when there was no answer.
void postJson(boost::asio::io_context& context, const std::string& address, const std::string& path,
    const std::string& body, std::function<void(int)> done);

}
