#include "arbitrarybelow.h"

#include <core/claimtable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace ragwortreach;

namespace {

constexpr std::uint64_t shortAge = 12;

key_claim claimOf(const std::string& key, const std::string& bodyHash = "h")
{
    return { "bobbin-shop", key, bodyHash, "entry-a1", 1 };
}

log_record recordOf(std::uint64_t offset, const std::string& id, const claim_record& record)
{
    return { offset, id, toJson(record) };
}

/// Record of a claim in the log.
struct logged_claim {
    std::string id;
    std::string key;
    std::uint64_t offset = 0;
};

/// Arbitrary record: malformed, a new or repeated claim, or the withdrawal or outcome of a claim in \a claims. Adds the claim
/// to \a claims.
log_record arbitraryRecord(std::uint64_t offset, std::vector<logged_claim>& claims)
{
    const int kind = arbitraryBelow(10);
    const std::string id = "r" + std::to_string(offset);
    if (kind == 0)
        return { offset, id, "nonsense" };
    if (kind >= 4 || claims.empty()) {
        const logged_claim* repeated = kind == 4 && !claims.empty() ? &claims[arbitraryBelow(claims.size())] : nullptr;
        const logged_claim claim = repeated != nullptr ? *repeated : logged_claim { "c" + std::to_string(offset), arbitraryBelow(2) == 0 ? "a" : "b" };
        claims.push_back({ claim.id, claim.key, offset });
        return recordOf(offset, claim.id, claimOf(claim.key));
    }
    const logged_claim& target = claims[arbitraryBelow(claims.size())];
    if (kind == 1)
        return recordOf(offset, id, claim_withdrawal { target.id });
    return recordOf(offset, id, claim_finish { target.id, claimOf(target.key), result_code::Ok, { 200, "text/plain", target.id, true } });
}

/// Reference implementation: active claims of \a key, found by scanning the complete log, in log order.
std::vector<std::string> referenceClaims(const std::vector<log_record>& log, const std::string& key)
{
    std::vector<std::string> claims;
    std::set<std::string> finished;
    std::set<std::string> withdrawn;
    for (const log_record& record : log) {
        const std::optional<claim_record> parsed = parseClaimRecord(record.data);
        const claim_withdrawal* withdrawal = parsed ? std::get_if<claim_withdrawal>(&*parsed) : nullptr;
        const key_claim* claim = parsed ? std::get_if<key_claim>(&*parsed) : nullptr;
        const claim_finish* finish = parsed ? std::get_if<claim_finish>(&*parsed) : nullptr;
        if (withdrawal != nullptr && !finished.contains(withdrawal->claimId)) {
            withdrawn.insert(withdrawal->claimId);
            std::erase(claims, withdrawal->claimId);
        }
        if (claim != nullptr && claim->key == key && !withdrawn.contains(record.id) && std::count(claims.begin(), claims.end(), record.id) == 0)
            claims.push_back(record.id);
        if (finish == nullptr || finish->claim.key != key)
            continue;
        finished.insert(finish->claimId);
        if (std::count(claims.begin(), claims.end(), finish->claimId) == 0)
            claims.push_back(finish->claimId);
    }
    return claims;
}

}

TEST_CASE("A claim wins exactly when a scan of the complete log finds no other active claim of its key")
{
    REQUIRE(rc::check([] {
        claim_table table;
        std::vector<log_record> log;
        std::vector<logged_claim> claims;
        while (log.size() < 40) {
            const log_record record = arbitraryRecord(log.size(), claims);
            const bool isNew = table.state(record.id) == claim_state::Unseen;
            const std::optional<claim_record> parsed = parseClaimRecord(record.data);
            const key_claim* claim = parsed ? std::get_if<key_claim>(&*parsed) : nullptr;
            const bool isKeyFree = claim != nullptr && referenceClaims(log, claim->key).empty();
            table.apply(record);
            log.push_back(record);
            if (claim != nullptr && isNew)
                RC_ASSERT((table.state(record.id) == claim_state::Won) == isKeyFree);
            for (const char* key : { "a", "b" }) {
                const std::vector<std::string> active = referenceClaims(log, key);
                const active_claim* oldest = table.oldestActiveClaim("bobbin-shop", key);
                RC_ASSERT((oldest == nullptr ? "" : oldest->claimId) == (active.empty() ? "" : active.front()));
            }
        }
    }));
}

TEST_CASE("Among readers that start at different offsets, two claims of a key within the maximum age never both win")
{
    REQUIRE(rc::check([] {
        std::vector<log_record> log;
        std::vector<logged_claim> claims;
        while (log.size() < 60)
            log.push_back(arbitraryRecord(log.size(), claims));
        std::map<std::string, std::map<std::uint64_t, std::string>> winners;
        std::map<std::string, std::uint64_t> withdrawnAt;
        for (const log_record& record : log) {
            const std::optional<claim_record> parsed = parseClaimRecord(record.data);
            if (parsed && std::holds_alternative<claim_withdrawal>(*parsed))
                withdrawnAt.try_emplace(std::get<claim_withdrawal>(*parsed).claimId, record.offset);
        }
        for (std::uint64_t begin = 0; begin < 40; ++begin) {
            claim_table table(shortAge);
            table.startAt(begin, false);
            for (std::uint64_t offset = begin; offset < log.size(); ++offset) {
                const bool isNew = table.state(log[offset].id) == claim_state::Unseen;
                const bool coversMaxAge = table.coversMaxAge();
                table.apply(log[offset]);
                if (isNew && coversMaxAge && table.state(log[offset].id) == claim_state::Won)
                    winners[std::get<key_claim>(*parseClaimRecord(log[offset].data)).key][offset] = log[offset].id;
            }
        }
        for (const std::pair<const std::string, std::map<std::uint64_t, std::string>>& key : winners) {
            for (const std::pair<const std::uint64_t, std::string>& first : key.second) {
                for (const std::pair<const std::uint64_t, std::string>& second : key.second) {
                    const bool isWithinMaxAge = first.first < second.first && second.first - first.first < shortAge;
                    const bool wasWithdrawn = withdrawnAt.contains(first.second) && withdrawnAt.at(first.second) < second.first;
                    RC_ASSERT((!isWithinMaxAge || first.second == second.second || wasWithdrawn));
                }
            }
        }
    }));
}

TEST_CASE("A refusal distinguishes a conflict, a key in use, an unknown outcome and a recorded answer")
{
    claim_table table(100, 10);
    table.apply(recordOf(0, "c1", claimOf("k")));
    CHECK_FALSE(table.refusal(claimOf("k"), "c1"));
    CHECK(table.refusal(claimOf("k", "other"), "c2")->code == result_code::KeyConflict);
    CHECK(table.refusal(claimOf("k"), "c2")->code == result_code::KeyInUse);
    table.apply(recordOf(1, "f1", claim_finish { "c1", claimOf("k"), result_code::Ok, { 201, "text/plain", "parcel", true } }));
    CHECK(table.refusal(claimOf("k"), "c2")->code == result_code::Ok);
    CHECK(table.refusal(claimOf("k"), "c2")->answer.body == "parcel");
    table.apply(recordOf(2, "f2", claim_finish { "c9", claimOf("l"), result_code::Ok, { 201, "", "thread", true } }));
    CHECK(table.refusal(claimOf("k"), "c2")->code == result_code::AlreadyRan);
    CHECK(table.refusal(claimOf("l"), "c2")->answer.body == "thread");
    table.apply(recordOf(3, "f3", claim_finish { "c4", claimOf("m"), result_code::OutcomeUnknown, {} }));
    CHECK(table.refusal(claimOf("m"), "c2")->code == result_code::OutcomeUnknown);
}

TEST_CASE("A claim whose record follows its withdrawal does not hold its key")
{
    claim_table table;
    table.apply(recordOf(0, "c1-void", claim_withdrawal { "c1" }));
    table.apply(recordOf(1, "c1", claimOf("k")));
    CHECK(table.state("c1") == claim_state::Withdrawn);
    table.apply(recordOf(2, "c2", claimOf("k")));
    CHECK(table.state("c2") == claim_state::Won);
}

TEST_CASE("Claims expire after the maximum age")
{
    claim_table table(shortAge, 100);
    for (std::uint64_t offset = 0; offset < 1000; ++offset)
        table.apply(recordOf(offset, "c" + std::to_string(offset), claimOf("k" + std::to_string(offset))));
    CHECK(table.size() <= shortAge + 1);
    CHECK(table.state("c900") == claim_state::Unseen);
}

TEST_CASE("A body that is too long or not UTF-8 is left out of the record")
{
    for (const std::string& body : { std::string(maxRecordedBodyBytes + 1, 'x'), std::string("\xff") }) {
        const std::optional<claim_record> parsed = parseClaimRecord(toJson(claim_finish { "c", claimOf("k"), result_code::Ok, { 200, "text/plain", body, true } }));
        REQUIRE(parsed);
        CHECK_FALSE(std::get<claim_finish>(*parsed).answer.isBodyKept);
    }
}
