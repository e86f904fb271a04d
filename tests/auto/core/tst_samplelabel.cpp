#include <core/samplelabel.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <set>
#include <vector>

using namespace ragwortreach;

namespace {

struct chunk {
    int shift = 0;
    std::uint32_t tokens = 0;
    std::vector<weight_version> versions;
};

/// One set of versions per token, and nothing else.
class naive_label {
public:
    void append(std::int64_t position, const chunk& added)
    {
        spoiled = spoiled || position != static_cast<std::int64_t>(tokens.size()) || (added.tokens > 0 && added.versions.empty());
        if (!spoiled)
            tokens.resize(tokens.size() + added.tokens, { added.versions.begin(), added.versions.end() });
    }

    std::vector<std::set<weight_version>> tokens;
    bool spoiled = false;
};

std::vector<std::set<weight_version>> perToken(const sample_label& label)
{
    std::vector<std::set<weight_version>> tokens;
    for (const token_span& span : label.spans()) {
        RC_ASSERT(span.begin == tokens.size());
        RC_ASSERT(std::is_sorted(span.versions.begin(), span.versions.end()));
        tokens.resize(span.end, { span.versions.begin(), span.versions.end() });
    }
    return tokens;
}

std::vector<chunk> someChunks()
{
    const std::vector<std::uint16_t> numbers = *rc::gen::arbitrary<std::vector<std::uint16_t>>();
    std::vector<chunk> chunks;
    for (const std::uint16_t number : numbers) {
        chunk made { number % 97 == 96 ? 1 : 0, number / 7 % 4U, {} };
        made.shift = number % 89 == 88 ? -1 : made.shift;
        for (int count = 0; count < (number % 53 == 52 ? 0 : 1 + number % 2); ++count)
            made.versions.push_back({ 1U, number / 11 % 3U + static_cast<std::uint64_t>(count) });
        chunks.push_back(made);
    }
    return chunks;
}

}

TEST_CASE("A label names the same versions for each token as a naive list")
{
    REQUIRE(rc::check([] {
        sample_label label;
        naive_label naive;
        for (const chunk& each : someChunks()) {
            const std::int64_t position = static_cast<std::int64_t>(naive.tokens.size()) + each.shift;
            RC_PRE(position >= 0);
            const std::error_code error = label.append(static_cast<std::uint32_t>(position), each.tokens, each.versions);
            naive.append(position, each);
            RC_ASSERT(static_cast<bool>(error) == naive.spoiled);
            RC_ASSERT(label.isSpoiled() == naive.spoiled);
            RC_ASSERT(perToken(label) == naive.tokens);
        }
        const std::uint32_t kept = *rc::gen::inRange<std::uint32_t>(0, label.tokens() + 1);
        std::uint64_t behind = 0;
        naive.tokens.resize(kept);
        for (const std::set<weight_version>& versions : naive.tokens) {
            for (const weight_version& version : versions)
                behind = std::max(behind, versionsBehind({ 1, 3 }, version));
        }
        label.truncate(kept);
        RC_ASSERT(perToken(label) == naive.tokens);
        RC_ASSERT(label.versionsBehind({ 1, 3 }) == behind);
        RC_ASSERT(sample_label::fromSpans(label.spans()).spans() == label.spans());
    }));
}

TEST_CASE("Spans of a record that leave a gap or name no version spoil the label")
{
    const weight_version version { 1, 1 };
    const std::array rows {
        std::vector<token_span> { { 1, 2, { version } } },
        std::vector<token_span> { { 0, 2, { version } }, { 3, 4, { version } } },
        std::vector<token_span> { { 0, 2, { version } }, { 1, 4, { version } } },
        std::vector<token_span> { { 0, 2, {} } },
        std::vector<token_span> { { 0, 0, { version } } },
    };
    for (const std::vector<token_span>& spans : rows)
        CHECK(sample_label::fromSpans(spans).isSpoiled());
    sample_label label;
    label.truncate(1);
    CHECK(label.isSpoiled());
}

TEST_CASE("Versions count on one line of descent and are unbounded elsewhere")
{
    struct row {
        weight_version trainer;
        weight_version sample;
        std::uint64_t behind;
    };
    const std::array rows {
        row { { 1, 7 }, { 1, 7 }, 0 },
        row { { 1, 7 }, { 1, 4 }, 3 },
        row { { 1, 4 }, { 1, 7 }, 0 },
        row { { 4, 0 }, { 2, 0 }, 2 },
        row { { 2, 0 }, { 4, 0 }, 0 },
        row { { 2, 0 }, { 1, 7 }, incomparableVersions },
        row { { 2, 1 }, { 1, 1 }, incomparableVersions },
    };
    for (const row& each : rows)
        CHECK(versionsBehind(each.trainer, each.sample) == each.behind);
    CHECK(weight_version { 1, 9 } < weight_version { 2, 0 });
    CHECK(toString(weight_version { 1, 7 }) == "1.7");
}
