#include "loadcommand.h"

namespace ragwortreach {

exit_code runLoad(const command_environment& environment)
{
    return report(environment, { exit_code::Usage, "The command 'load' is not available in this version." });
}

}
