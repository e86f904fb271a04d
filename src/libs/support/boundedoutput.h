#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Writes lines to a file descriptor without ever waiting for its reader.
///
/// Lines that the reader does not take yet wait in a buffer of fixed size; lines beyond it are left out and counted.
class bounded_output {
public:
    static constexpr std::size_t maxPendingBytes = std::size_t { 256 } * 1024;

    /// \a descriptor stays open for the life of the output and belongs to the caller.
    explicit bounded_output(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Returns false when the line was left out.
    bool write(std::string_view line);
    /// Passes on what the reader takes now.
    void flush();

    std::size_t pendingBytes() const { return m_pending.size() - m_begin; }
    std::uint64_t linesLeftOut() const { return m_linesLeftOut; }

private:
    bool isWritable() const;

    int m_descriptor;
    std::string m_pending;
    /// Bytes of m_pending that were passed on.
    std::size_t m_begin = 0;
    std::uint64_t m_linesLeftOut = 0;
};

}
