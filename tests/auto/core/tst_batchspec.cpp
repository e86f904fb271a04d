#include <core/batchindextable.h>
#include <core/batchrecord.h>
#include <core/batchspec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <string>

using namespace ragwortreach;

namespace {

constexpr std::string_view validSpec = R"({"batch":"b-1","entry":"rollouts","trainer":"t1","owner":"o","data_centre":"ee-north-a",)"
                                       R"("due_ms":60000,"max_tokens":64,"groups":[{"prompt":"a","count":2},{"prompt":"b","count":3}]})";

batch_spec specWith(std::string_view json = validSpec)
{
    return std::get<batch_spec>(parseBatchSpec(json));
}

std::string replaced(std::string_view text, std::string_view replacement)
{
    std::string json(validSpec);
    return json.replace(json.find(text), text.size(), replacement);
}

}

TEST_CASE("A spec is read, written and hashed the same, whatever the order of its keys")
{
    const batch_spec spec = specWith();
    CHECK(slotCount(spec) == 5);
    CHECK(slotPlace(spec, 4).group == 1);
    CHECK(slotPlace(spec, 4).index == 2);
    CHECK(specWith(toJson(spec)) == spec);
    const batch_record record = specRecord(spec);
    CHECK(parseSpecRecord({ record.id, record.data }) == spec);
    CHECK(contentHash(specWith(toJson(spec))) == contentHash(spec));
    CHECK(contentHash(spec).size() == 32);
}

TEST_CASE("Specs with different content have different hashes")
{
    const std::array changes { std::pair { R"("b-1")", R"("b-2")" }, std::pair { R"("t1")", R"("t2")" }, std::pair { "60000", "60001" },
        std::pair { R"("count":3)", R"("count":4)" }, std::pair { R"("prompt":"a")", R"("prompt":"ab")" },
        std::pair { R"("trainer":"t1","owner":"o")", R"("trainer":"1","owner":"ot")" } };
    for (const std::pair<const char*, const char*>& change : changes)
        CHECK(contentHash(specWith(replaced(change.first, change.second))) != contentHash(specWith()));
}

TEST_CASE("A spec with a value out of bounds is refused with a sentence that names the key")
{
    struct row {
        std::string json;
        result_code code;
        std::string_view key;
    };
    const std::string longPrompt = "\"prompt\":\"" + std::string(maxPromptBytes + 1, 'x') + "\"";
    const std::array rows {
        row { "[]", result_code::MalformedRequest, "object" },
        row { "{", result_code::MalformedRequest, "object" },
        row { replaced(R"("batch":"b-1",)", ""), result_code::MalformedRequest, "'batch'" },
        row { replaced("b-1", "b/1"), result_code::ValueOutOfRange, "'batch'" },
        row { replaced("b-1", std::string(129, 'b')), result_code::ValueOutOfRange, "'batch'" },
        row { replaced(R"("t1")", "7"), result_code::MalformedRequest, "'trainer'" },
        row { replaced("60000", "0"), result_code::ValueOutOfRange, "'due_ms'" },
        row { replaced("60000", "-1"), result_code::MalformedRequest, "'due_ms'" },
        row { replaced("64", "32769"), result_code::ValueOutOfRange, "'max_tokens'" },
        row { replaced(R"("count":3)", R"("count":0)"), result_code::ValueOutOfRange, "'count'" },
        row { replaced(R"("count":3)", R"("count":4095)"), result_code::ValueOutOfRange, "'count'" },
        row { replaced(R"("prompt":"a")", longPrompt), result_code::ValueOutOfRange, "'prompt'" },
        row { replaced(R"({"prompt":"a","count":2})", "7"), result_code::MalformedRequest, "'groups'" },
        row { replaced("groups", "group"), result_code::ValueOutOfRange, "'groups'" },
    };
    for (const row& each : rows) {
        CAPTURE(each.json.substr(0, 200), each.key);
        const std::variant<batch_spec, batch_spec_error> read = parseBatchSpec(each.json);
        REQUIRE(std::holds_alternative<batch_spec_error>(read));
        CHECK(std::get<batch_spec_error>(read).code == each.code);
        CHECK(std::get<batch_spec_error>(read).detail.find(each.key) != std::string::npos);
    }
}

TEST_CASE("The batch index keeps the first opening, and repeated records do not change it")
{
    REQUIRE(rc::check([] {
        batch_index_table table;
        batch_index_table repeated;
        std::map<std::string, std::pair<std::string, batch_state>> reference;
        for (const std::uint16_t number : *rc::gen::arbitrary<std::vector<std::uint16_t>>()) {
            batch_index_record record { static_cast<batch_state>(number % 3), "b" + std::to_string(number / 3 % 4), "e", "t", "", "" };
            if (record.state == batch_state::Opened)
                record.contentHash = "h" + std::to_string(number / 12 % 2);
            else
                record.entry = record.trainer = "";
            RC_ASSERT(parseBatchIndexRecord(toJson(record)) == record);
            const bool isNew = !reference.contains(record.batch);
            const batch_index_result result = table.apply(toJson(record));
            repeated.apply(toJson(record));
            repeated.apply(toJson(record));
            if (record.state == batch_state::Opened && isNew) {
                reference[record.batch] = { record.contentHash, batch_state::Opened };
                RC_ASSERT(result == batch_index_result::Opened);
            } else if (record.state == batch_state::Opened) {
                RC_ASSERT((result == batch_index_result::Conflict) == (reference[record.batch].first != record.contentHash));
            } else if (!isNew && reference[record.batch].second == batch_state::Opened) {
                reference[record.batch].second = record.state;
            }
        }
        RC_ASSERT(table.batches().size() == reference.size());
        for (const std::pair<const std::string, std::pair<std::string, batch_state>>& batch : reference) {
            RC_ASSERT(table.find(batch.first)->opening.contentHash == batch.second.first);
            RC_ASSERT(table.find(batch.first)->state == batch.second.second);
            RC_ASSERT(repeated.find(batch.first)->state == batch.second.second);
        }
        RC_ASSERT(table.openBatches() == repeated.openBatches());
    }));
}

TEST_CASE("The batch index ignores invalid records and limits the open batches")
{
    batch_index_table table;
    for (const char* data : { "", "[]", R"({"schema":2,"batch":"b","state":"closed"})", R"({"schema":1,"batch":"b","state":"closed"})",
             R"({"schema":1,"batch":"b","state":"opened"})", R"({"schema":1,"batch":"b/","state":"opened","entry":"e","trainer":"t","hash":"h"})" })
        CHECK(table.apply(data) == batch_index_result::Ignored);
    CHECK(table.ignoredRecords() == 6);
    for (std::size_t count = 0; count < maxOpenBatches; ++count)
        table.apply(toJson(batch_index_record { batch_state::Opened, "b" + std::to_string(count), "e", "t", "", "h" }));
    const std::string another = toJson(batch_index_record { batch_state::Opened, "another", "e", "t", "", "h" });
    CHECK(table.apply(another) == batch_index_result::Full);
    CHECK(table.apply(toJson(batch_index_record { batch_state::Closed, "b0", "", "", "", "" })) == batch_index_result::Closed);
    CHECK(table.apply(another) == batch_index_result::Opened);
}
