#pragma once

#include "commandenvironment.h"

#include <string>

namespace ragwortreach {

/// `catalogue check FILE`: checks the entries of a file without a daemon.
exit_code runCatalogueCheck(const command_environment& environment, const std::string& path);

/// `catalogue get`: lists the entries; `catalogue get ENTRY`: writes one entry in the file format of `catalogue apply`.
exit_code runCatalogueGet(const command_environment& environment, const std::string& entry);

/// `catalogue diff FILE`: shows what `catalogue apply` would change.
exit_code runCatalogueDiff(const command_environment& environment, const std::string& path);

/// `catalogue apply FILE`: applies the entries of a file in order and stops at the first that fails.
exit_code runCatalogueApply(const command_environment& environment, const std::string& path);

/// `catalogue history ENTRY`: shows all accepted and rejected edits of an entry.
exit_code runCatalogueHistory(const command_environment& environment, const std::string& entry);

}
