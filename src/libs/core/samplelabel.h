#pragma once

#include "weightversion.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <system_error>
#include <vector>

namespace ragwortreach {

/// Tokens [begin, end) of a sample and the weight versions that took part in producing them.
struct token_span {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
    /// Ascending, without repeats, never empty.
    std::vector<weight_version> versions;

    bool operator==(const token_span&) const = default;
};

/// Largest number of versions that one chunk may name.
inline constexpr std::size_t maxVersionsPerChunk = 16;
/// Largest number of spans of one sample.
inline constexpr std::size_t maxLabelSpans = 1024;

/// Names, for each token of a sample, the weight versions that took part in it.
///
/// Chunks are added in the order of their positions. A chunk without versions, a gap or a repeat spoils
/// the label, and a spoiled label stays so: the sample has to be dropped and generated again.
/// The versions of a chunk are those that the engine named, also for a prefix that it found in its cache.
class sample_label {
public:
    /// Adds \a tokens tokens from \a position on. Returns VersionMissing or UpstreamTruncated when that spoils the label.
    std::error_code append(std::uint32_t position, std::uint32_t tokens, std::span<const weight_version> versions);

    /// Forgets all tokens from \a tokens on, as when a stream is resumed from there.
    /// A length beyond the tokens at hand spoils the label.
    void truncate(std::uint32_t tokens);

    /// Takes spans that were read from a record. Spans that are not contiguous from 0 spoil the label.
    static sample_label fromSpans(std::span<const token_span> spans);

    bool isInvalid() const { return m_invalid; }
    std::uint32_t tokens() const { return m_spans.empty() ? 0 : m_spans.back().end; }
    const std::vector<token_span>& spans() const { return m_spans; }

    /// Versions by which the oldest version of the label is behind \a trainer; 0 for an empty label.
    std::uint64_t versionsBehind(const weight_version& trainer) const;

    bool operator==(const sample_label&) const = default;

private:
    std::error_code invalidate(std::error_code error);

    std::vector<token_span> m_spans;
    bool m_invalid = false;
};

}
