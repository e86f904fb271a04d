#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortreach {

/// Writes lines to a file descriptor without blocking on its reader.
///
/// Lines that the reader has not taken yet wait in a buffer of limited size; lines that do not fit are left out and
/// counted.
class bounded_output {
public:
    static constexpr std::size_t maxPendingBytes = std::size_t { 256 } * 1024;

    /// \a descriptor belongs to the caller and must stay open as long as the output exists.
    explicit bounded_output(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Writes or buffers \a line. Returns false when it was left out.
    bool write(std::string_view line);
    /// Writes as much of the buffer as the descriptor takes without blocking.
    void flush();

    std::size_t pendingBytes() const { return m_pending.size() - m_begin; }
    std::uint64_t linesLeftOut() const { return m_linesLeftOut; }

private:
    bool isWritable() const;

    int m_descriptor;
    std::string m_pending;
    /// Bytes of m_pending that were written.
    std::size_t m_begin = 0;
    std::uint64_t m_linesLeftOut = 0;
};

}
