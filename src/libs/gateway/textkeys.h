#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Keys of the records of texts. The text BATCH/PART/WRITER is stored in records BATCH/PART/WRITER/NUMBER.

/// Limit for the ids of a batch and of an item together, in bytes. A key has 255 at most, and the name of a process and the
/// number of a record need the others.
inline constexpr std::size_t maxIdBytes = 160;
/// Name under which the contents of a batch are stored among its texts.
inline constexpr std::string_view contentsPart = "*";

/// Why the texts of a batch and its \a item cannot be stored under their ids; empty if they can.
std::string idFault(std::string_view batch, std::string_view item);

/// Key of the record \a number of the text \a textKey.
std::string chunkKey(std::string_view textKey, std::uint32_t number);
/// Key of the text that the record \a key belongs to.
std::string_view textKeyOf(std::string_view key);
/// Beginning of the keys of all texts that belong to the batch of \a key.
std::string_view batchPrefixOf(std::string_view key);
/// A key that comes before the record \a key and after those that come before it, so that pages begin with it.
std::string keyBefore(std::string_view key);

}
