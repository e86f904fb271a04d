#include "catalogueworkload.h"

#include <core/cataloguesnapshot.h>
#include <core/cataloguetable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace ragwortreach;

namespace {

/// Reference model of catalogue_table without its bounds.
class reference_catalogue {
public:
    edit_outcome apply(const log_record& record, std::uint64_t& revision)
    {
        catalogue_edit edit;
        std::string detail;
        if (parseEdit(record.data, edit, detail))
            return edit_outcome::Skipped;
        const std::uint64_t present = m_present.contains(edit.entry) ? m_revisions[edit.entry] : 0;
        const bool isAccepted = edit.replaces == present && (present != 0 || edit.body);
        if (isAccepted) {
            ++m_revisions[edit.entry];
            edit.body ? (void)m_present.insert(edit.entry) : (void)m_present.erase(edit.entry);
        }
        revision = m_revisions[edit.entry];
        return isAccepted ? edit_outcome::Accepted : edit_outcome::Conflict;
    }

    std::map<std::string, std::uint64_t> present()
    {
        std::map<std::string, std::uint64_t> entries;
        for (const std::string& name : m_present)
            entries[name] = m_revisions[name];
        return entries;
    }

private:
    std::map<std::string, std::uint64_t> m_revisions;
    std::set<std::string> m_present;
};

std::vector<log_record> arbitraryLog(int length)
{
    std::vector<log_record> log;
    while (static_cast<int>(log.size()) < length)
        log.push_back(arbitraryRecord(log));
    return log;
}

std::vector<std::uint64_t> prefixHashes(const std::vector<log_record>& log)
{
    catalogue_table table;
    std::vector<std::uint64_t> hashes { table.hash() };
    for (const log_record& record : log) {
        table.apply(record);
        hashes.push_back(table.hash());
    }
    return hashes;
}

}

TEST_CASE("The table gives the verdicts of an unbounded reference model")
{
    REQUIRE(rc::check([] {
        reference_catalogue reference;
        std::map<std::string, edit_verdict> first;
        catalogue_table table;
        for (const log_record& record : arbitraryLog(40)) {
            const edit_verdict verdict = table.apply(record);
            RC_ASSERT(verdict.isRepeated == first.contains(record.id));
            if (verdict.isRepeated) {
                RC_ASSERT(verdict == first.at(record.id));
                continue;
            }
            std::uint64_t revision = 0;
            RC_ASSERT(verdict.outcome == reference.apply(record, revision));
            RC_ASSERT(verdict.revision == revision);
            RC_ASSERT(table.verdict(record.id) == verdict);
            first.emplace(record.id, verdict);
        }
        std::map<std::string, std::uint64_t> present;
        for (const catalogue_entry_state& entryState : table.entries())
            present[entryState.name] = entryState.revision;
        RC_ASSERT(present == reference.present());
    }));
}

TEST_CASE("Restoring a snapshot and applying the records after it gives the verdicts of a full replay")
{
    REQUIRE(rc::check([] {
        const std::vector<log_record> log = arbitraryLog(40);
        const std::vector<std::uint64_t> hashes = prefixHashes(log);
        catalogue_table fullReplay;
        for (const log_record& record : log)
            fullReplay.apply(record);
        std::vector<std::string> snapshots;
        catalogue_table table;
        for (int step = 0; step < 30; ++step) {
            const std::uint64_t position = table.position();
            if (arbitraryBelow(4) == 0)
                table = catalogue_table();
            if (arbitraryBelow(3) == 0) {
                const std::uint64_t before = table.position();
                restoreBest(table, snapshots);
                RC_ASSERT(table.position() >= before);
            }
            const std::uint64_t begin = arbitraryBelow(position + 1);
            const std::uint64_t end = std::min<std::uint64_t>(log.size(), table.position() + arbitraryBelow<std::uint64_t>(12));
            for (std::uint64_t offset = std::min(begin, table.position()); offset < end; ++offset)
                RC_ASSERT(table.apply(log[offset]) == *fullReplay.verdict(log[offset].id));
            RC_ASSERT(table.hash() == hashes[table.position()]);
            if (arbitraryBelow(2) == 0)
                snapshots.insert(snapshots.begin() + arbitraryBelow(std::ssize(snapshots) + 1), encodeSnapshot(makeSnapshot(table)));
        }
    }));
}

TEST_CASE("A conflict carries the present state of the entry")
{
    catalogue_table table;
    CHECK(table.apply(editRecord(0, "kadri", "shop", 0)).code == result_code::Ok);
    const edit_verdict lost = table.apply(editRecord(1, "mart", "shop", 0));
    CHECK(lost.code == result_code::EditConflict);
    CHECK(lost.detail == "replaces is 0, but the entry stands at revision 1");
    REQUIRE(lost.current);
    CHECK(lost.current->recordId == "kadri");
    CHECK(table.history("shop").size() == 2);
}

TEST_CASE("Revisions continue after a deletion")
{
    catalogue_table table;
    table.apply(editRecord(0, "put", "shop", 0));
    table.apply(editRecord(1, "delete", "shop", 1, true));
    CHECK(table.entry("shop") == nullptr);
    CHECK(table.revision("shop") == 0);
    CHECK(table.apply(editRecord(2, "again", "shop", 0)).revision == 3);
    CHECK(table.apply(editRecord(3, "late", "shop", 1)).code == result_code::EditConflict);
}

TEST_CASE("Revisions are not reused after a tombstone is dropped")
{
    catalogue_table table;
    std::uint64_t offset = 0;
    for (std::size_t i = 0; i <= catalogue_table::maxTombstones; ++i) {
        const std::string name = "e" + std::to_string(i);
        table.apply(editRecord(offset, "p" + name, name, 0));
        table.apply(editRecord(offset + 1, "d" + name, name, 1, true));
        offset += 2;
    }
    CHECK(table.entryState("e0") == nullptr);
    CHECK(table.apply(editRecord(offset, "again", "e0", 0)).revision == 3);
}

TEST_CASE("Entries, history and remembered verdicts are bounded")
{
    catalogue_table table;
    for (std::size_t i = 0; i < catalogue_table::maxEntries; ++i)
        table.apply(editRecord(i, "r" + std::to_string(i), "e" + std::to_string(i), 0));
    std::uint64_t offset = catalogue_table::maxEntries;
    CHECK(table.apply(editRecord(offset, "over", "one-more", 0)).code == result_code::EditConflict);
    for (std::uint64_t revision = 1; revision < 40; ++revision)
        table.apply(editRecord(++offset, "s" + std::to_string(revision), "e0", revision));
    CHECK(table.history("e0").size() == catalogue_table::maxHistoryLength);
    CHECK_FALSE(table.verdict("r0"));
    CHECK(table.verdict("s39"));
}

TEST_CASE("A gap is counted and the position does not move back")
{
    catalogue_table table;
    table.apply(editRecord(5, "a", "shop", 0));
    CHECK(table.gaps() == 1);
    CHECK(table.position() == 6);
    CHECK(table.apply(editRecord(2, "b", "shop", 1)).isRepeated);
    table.skipTo(3);
    CHECK(table.position() == 6);
    CHECK(table.revision("shop") == 1);
}

TEST_CASE("A corrupt snapshot is rejected and the next best one is restored")
{
    catalogue_table source;
    source.apply(editRecord(0, "a", "shop", 0));
    const catalogue_snapshot older = makeSnapshot(source);
    source.apply(editRecord(1, "b", "shop", 1));
    catalogue_snapshot damaged = makeSnapshot(source);
    damaged.state.replace(damaged.state.find("\"revision\":2"), 12, "\"revision\":3");
    catalogue_table table;
    CHECK(restore(table, damaged) == restore_result::Corrupt);
    const std::vector<std::string> texts { encodeSnapshot(damaged), encodeSnapshot(older), encodeSnapshot(makeSnapshot(catalogue_table())), "{}", "nonsense" };
    CHECK(restoreBest(table, texts) == restore_result::Restored);
    CHECK(table.position() == 1);
    CHECK(restore(table, older) == restore_result::Outdated);
}
