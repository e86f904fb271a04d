#pragma once

#include "commandenvironment.h"

namespace ragwortreach {

/// `load`: generates the load of customers and trainers that the flags describe, and reports their outcomes.
exit_code runLoad(const command_environment& environment);

}
