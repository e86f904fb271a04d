#include "samplelabel.h"

#include "resultcode.h"

#include <algorithm>
#include <utility>

namespace ragwortreach {

std::error_code sample_label::append(std::uint32_t position, std::uint32_t tokens, std::span<const weight_version> versions)
{
    if (m_invalid)
        return result_code::VersionMissing;
    if (position != this->tokens())
        return invalidate(result_code::UpstreamTruncated);
    if (tokens == 0)
        return {};
    if (versions.empty() || versions.size() > maxVersionsPerChunk)
        return invalidate(result_code::VersionMissing);

    std::vector<weight_version> sorted(versions.begin(), versions.end());
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    if (!m_spans.empty() && m_spans.back().versions == sorted) {
        m_spans.back().end += tokens;
        return {};
    }
    if (m_spans.size() == maxLabelSpans)
        return invalidate(result_code::VersionMissing);
    m_spans.push_back({ position, position + tokens, std::move(sorted) });
    return {};
}

void sample_label::truncate(std::uint32_t tokens)
{
    if (tokens > this->tokens()) {
        m_invalid = true;
        return;
    }
    while (!m_spans.empty() && m_spans.back().begin >= tokens)
        m_spans.pop_back();
    if (!m_spans.empty())
        m_spans.back().end = std::min(m_spans.back().end, tokens);
}

sample_label sample_label::fromSpans(std::span<const token_span> spans)
{
    sample_label label;
    for (const token_span& span : spans) {
        if (span.end <= span.begin)
            label.m_invalid = true;
        else
            label.append(span.begin, span.end - span.begin, span.versions);
    }
    return label;
}

std::uint64_t sample_label::versionsBehind(const weight_version& trainer) const
{
    std::uint64_t behind = 0;
    for (const token_span& span : m_spans) {
        for (const weight_version& version : span.versions)
            behind = std::max(behind, ragwortreach::versionsBehind(trainer, version));
    }
    return behind;
}

std::error_code sample_label::invalidate(std::error_code error)
{
    m_invalid = true;
    return error;
}

}
