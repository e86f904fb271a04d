#pragma once

#include "batchsample.h"
#include "instant.h"
#include "samplelabel.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortreach {

/// Sample that is still being generated. Each chunk extends its tokens, text and label together.
class sample_draft {
public:
    /// Adds one chunk. Returns an error when the chunk makes the label invalid or the text exceeds maxSampleTextBytes; the
    /// sample then has to be discarded.
    std::error_code append(std::uint32_t position, std::span<const std::uint32_t> tokenIds, std::string_view text,
        std::span<const weight_version> versions);

    /// Keeps only the chunks that lie completely within the first \a tokens tokens.
    void truncate(std::uint32_t tokens);

    std::uint32_t tokens() const { return static_cast<std::uint32_t>(m_tokenIds.size()); }
    const std::vector<std::uint32_t>& tokenIds() const { return m_tokenIds; }
    const std::string& text() const { return m_text; }
    const sample_label& label() const { return m_label; }

    /// Whether there are tokens and the label covers them all.
    bool isComplete() const { return !m_tokenIds.empty() && !m_label.isInvalid() && m_label.tokens() == tokens(); }

    /// Start of the first stream that added to the draft.
    const std::optional<instant>& startedAt() const { return m_startedAt; }
    /// Seed for the sampling of the engine. A stream that resumes the sample uses the same seed.
    std::uint64_t seed() const { return m_seed; }
    void setSeed(std::uint64_t seed) { m_seed = seed; }

    /// Has no effect when the start is already set.
    void setStartedAt(instant startedAt);

private:
    /// Length of the sample after a chunk.
    struct chunk_end {
        std::uint32_t tokens = 0;
        std::uint32_t textBytes = 0;
    };

    std::vector<std::uint32_t> m_tokenIds;
    std::string m_text;
    std::vector<chunk_end> m_chunkEnds;
    sample_label m_label;
    std::optional<instant> m_startedAt;
    std::uint64_t m_seed = 0;
};

}
