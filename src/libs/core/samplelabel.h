#pragma once

#include "weightversion.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <system_error>
#include <vector>

namespace ragwortreach {

/// Tokens [begin, end) of a sample and the weight versions that produced them.
struct token_span {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
    /// Sorted in ascending order, without repeats, never empty.
    std::vector<weight_version> versions;

    bool operator==(const token_span&) const = default;
};

/// Largest number of versions that one chunk may name.
inline constexpr std::size_t maxVersionsPerChunk = 16;
/// Largest number of spans of one sample.
inline constexpr std::size_t maxLabelSpans = 1024;

/// Records, for each token of a sample, the weight versions that produced it.
///
/// Chunks are added in the order of their positions. A chunk without versions, a gap or a repeated position makes the
/// label invalid. An invalid label never becomes valid again: the sample has to be discarded and generated anew.
/// The versions of a chunk are those that the engine reported, also for a prefix that it took from its cache.
class sample_label {
public:
    /// Adds \a tokens tokens that start at \a position. Returns VersionMissing or UpstreamTruncated when the label is
    /// invalid afterwards.
    std::error_code append(std::uint32_t position, std::uint32_t tokens, std::span<const weight_version> versions);

    /// Shortens the label to the first \a tokens tokens, as when a stream is resumed from there.
    /// The label becomes invalid when it has fewer tokens.
    void truncate(std::uint32_t tokens);

    /// Label made of spans that were read from a record; invalid when the spans are not contiguous from 0.
    static sample_label fromSpans(std::span<const token_span> spans);

    bool isInvalid() const { return m_invalid; }
    std::uint32_t tokens() const { return m_spans.empty() ? 0 : m_spans.back().end; }
    const std::vector<token_span>& spans() const { return m_spans; }

    /// Number of versions by which the oldest version of the label is behind \a trainer; 0 for an empty label.
    std::uint64_t versionsBehind(const weight_version& trainer) const;

    bool operator==(const sample_label&) const = default;

private:
    /// Makes the label invalid and returns \a error.
    std::error_code invalidate(std::error_code error);

    std::vector<token_span> m_spans;
    bool m_invalid = false;
};

}
