#include "commandenvironment.h"

#include <ostream>

namespace ragwortreach {

http_reply command_environment::exchange(const std::string& address, const http_request& request) const
{
    const addressed_request single { address, request };
    return exchangeAll({ &single, 1 }).front();
}

exit_code report(const command_environment& environment, const command_failure& failure)
{
    environment.errors << failure.message << '\n';
    return failure.code;
}

}
