#pragma once

#include "commandenvironment.h"

namespace ragwortreach {

/// `load`: plays customers and trainers as the flags say, and reports what they met.
exit_code runLoad(const command_environment& environment);

}
