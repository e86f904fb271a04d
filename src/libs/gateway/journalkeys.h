#pragma once

#include <string>
#include <string_view>

namespace ragwortreach {

/// Keys of the journal's records. Those of a batch begin with its name, so that they can be read without the records of
/// other batches. Those that list a batch or its end begin with \c directoryPrefix and come after all others, so that
/// they can be read without any other record.
inline constexpr std::string_view directoryPrefix = "~/";

/// Name of the batch \a id in keys: its id if that has the usual characters and length, else a digest of it. Serves models
/// and items as well.
std::string journalName(std::string_view id);
/// Beginning of the keys of the batch called \a name.
std::string batchPrefix(std::string_view name);
/// Whether the record with this \a key lists a batch or its end.
bool isDirectoryKey(std::string_view key);
/// Name of the batch that \a key belongs to.
std::string_view nameInKey(std::string_view key);

}
