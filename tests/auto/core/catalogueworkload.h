#pragma once

#include "arbitrarybelow.h"

#include <core/catalogueedit.h>
#include <core/logrecord.h>

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace ragwortreach {

/// Minimal valid entry that routes to \a upstream.
inline catalogue_entry sampleEntry(const std::string& upstream)
{
    catalogue_entry entry;
    entry.owner = "pitsinurk";
    entry.upstream = upstream;
    return entry;
}

/// Record with an edit of \a entry that replaces the revision \a replaces.
inline log_record editRecord(std::uint64_t offset, const std::string& id, const std::string& entry, std::uint64_t replaces, bool isDeletion = false)
{
    catalogue_edit edit { entry, replaces, "mart", std::nullopt };
    if (!isDeletion)
        edit.body = sampleEntry(id);
    return { offset, id, toJson(edit) };
}

/// Next record of \a log: mostly an edit that may be accepted, sometimes a duplicate or a malformed record.
inline log_record arbitraryRecord(const std::vector<log_record>& log)
{
    const std::uint64_t offset = log.size();
    const int kind = arbitraryBelow(12);
    if (kind == 0)
        return { offset, "r" + std::to_string(offset), *rc::gen::element<std::string>("", "{}", "nonsense", R"({"schema":2,"entry":"a"})") };
    if (kind <= 2 && !log.empty()) {
        log_record repeated = log[arbitraryBelow(log.size())];
        repeated.offset = offset;
        return repeated;
    }
    const std::string entry = *rc::gen::element<std::string>("a", "b");
    return editRecord(offset, "r" + std::to_string(offset), entry, arbitraryBelow<std::uint64_t>(4), kind > 8);
}

}
