#include <core/samplelabel.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <set>
#include <vector>

using namespace ragwortreach;

namespace {

/// Arbitrary chunk; \c shift is the error of its position.
struct chunk {
    int shift = 0;
    std::uint32_t tokens = 0;
    std::vector<weight_version> versions;
};

/// Reference implementation: one set of versions per token.
class reference_label {
public:
    void append(std::int64_t position, const chunk& added)
    {
        invalid = invalid || position != static_cast<std::int64_t>(tokens.size()) || (added.tokens > 0 && added.versions.empty());
        if (!invalid)
            tokens.resize(tokens.size() + added.tokens, { added.versions.begin(), added.versions.end() });
    }

    std::vector<std::set<weight_version>> tokens;
    bool invalid = false;
};

std::vector<std::set<weight_version>> versionsPerToken(const sample_label& label)
{
    std::vector<std::set<weight_version>> tokens;
    for (const token_span& span : label.spans()) {
        RC_ASSERT(span.begin == tokens.size());
        RC_ASSERT(std::is_sorted(span.versions.begin(), span.versions.end()));
        tokens.resize(span.end, { span.versions.begin(), span.versions.end() });
    }
    return tokens;
}

std::vector<chunk> arbitraryChunks()
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

TEST_CASE("A label has the same versions for each token as the reference implementation")
{
    REQUIRE(rc::check([] {
        sample_label label;
        reference_label reference;
        for (const chunk& each : arbitraryChunks()) {
            const std::int64_t position = static_cast<std::int64_t>(reference.tokens.size()) + each.shift;
            RC_PRE(position >= 0);
            const std::error_code error = label.append(static_cast<std::uint32_t>(position), each.tokens, each.versions);
            reference.append(position, each);
            RC_ASSERT(static_cast<bool>(error) == reference.invalid);
            RC_ASSERT(label.isInvalid() == reference.invalid);
            RC_ASSERT(versionsPerToken(label) == reference.tokens);
        }
        const std::uint32_t kept = *rc::gen::inRange<std::uint32_t>(0, label.tokens() + 1);
        std::uint64_t behind = 0;
        reference.tokens.resize(kept);
        for (const std::set<weight_version>& versions : reference.tokens) {
            for (const weight_version& version : versions)
                behind = std::max(behind, versionsBehind({ 1, 3 }, version));
        }
        label.truncate(kept);
        RC_ASSERT(versionsPerToken(label) == reference.tokens);
        RC_ASSERT(label.versionsBehind({ 1, 3 }) == behind);
        RC_ASSERT(sample_label::fromSpans(label.spans()).spans() == label.spans());
    }));
}

TEST_CASE("Spans of a record with a gap, an overlap or without a version make the label invalid")
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
        CHECK(sample_label::fromSpans(spans).isInvalid());
    sample_label label;
    label.truncate(1);
    CHECK(label.isInvalid());
}

TEST_CASE("The distance of versions is counted along one line of descent and is not comparable otherwise")
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
