#pragma once

#include "accessstatement.h"
#include "configurationread.h"
#include "replicaleaving.h"
#include "replicalimit.h"
#include "requestcrash.h"

#include <variant>

namespace ragwortreach {

/// What an answer or the log told one daemon and others should know.
using fact = std::variant<replica_limit, request_crash, request_success, replica_leaving, configuration_read, access_statement>;

}
