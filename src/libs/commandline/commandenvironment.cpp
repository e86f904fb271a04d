#include "commandenvironment.h"

#include <ostream>

namespace ragwortreach {

exit_code report(const command_environment& environment, const command_failure& failure)
{
    environment.errors << failure.sentence << '\n';
    return failure.code;
}

}
