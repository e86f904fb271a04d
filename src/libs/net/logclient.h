#pragma once

#include "endpoint.h"

#include <core/instant.h>
#include <core/logpage.h>
#include <core/resultcode.h>

#include <functional>
#include <span>
#include <string>

namespace ragwortreach {

class http_client;

/// Client of the append-only log.
class log_client {
public:
    /// Gets the offset of the first appended record; 0 unless the code is Ok.
    using append_handler = std::function<void(result_code, std::uint64_t first)>;
    using read_handler = std::function<void(result_code, log_page)>;

    log_client(http_client& client, endpoint address);

    /// LogUnavailable means that nothing was written; AppendUnknown means that the reply was lost: the records may be in the
    /// log, which the caller finds out by searching for their ids.
    void append(std::string_view stream, std::span<const log_append> records, append_handler handler);

    /// Reads at most \a maxRecords records from the offset \a from on. When there are none, the log waits up to \a wait for
    /// the next one. LogTruncated means that \a from is no longer retained; the page then holds only firstRetained and end.
    void read(std::string_view stream, std::uint64_t from, std::size_t maxRecords, duration wait, read_handler handler);

private:
    http_client& m_client;
    endpoint m_address;
};

}
