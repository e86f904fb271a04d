#pragma once

#include "commandenvironment.h"

namespace ragwortreach {

/// `status`: shows one daemon and what it knows about VMs, upstreams and batches.
exit_code runStatus(const command_environment& environment);

}
