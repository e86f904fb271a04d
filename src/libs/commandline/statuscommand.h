#pragma once

#include "commandenvironment.h"

namespace ragwortreach {

/// `status`: shows the state of one daemon and its view of the VMs, upstreams and batches.
exit_code runStatus(const command_environment& environment);

}
