#pragma once

#include <cstddef>

namespace ragwortreach {

/// Bound for the bytes that a process holds for others, such as bodies of callers and answers that wait for them.
///
/// When it fills up, this is refused in turn: new large bodies first, beyond three quarters of the bound, where answers for
/// slow callers stop being read as well; then all other bodies, at the bound itself. So large bodies cannot take the room
/// of small ones.
class byte_budget {
public:
    static constexpr std::size_t defaultLimit = std::size_t { 48 } * 1024 * 1024;
    /// Bodies up to this size are small.
    static constexpr std::size_t maxSmallBytes = std::size_t { 64 } * 1024;

    /// \a limit: bytes that may be held. \a largestBody: largest body that is accepted; one of that size fits into an empty
    /// budget, whatever the limit is.
    explicit byte_budget(std::size_t limit = defaultLimit, std::size_t largestBody = 0);

    void setLimit(std::size_t bytes) { m_limit = bytes; }
    void setLargestBody(std::size_t bytes) { m_largestBody = bytes; }

    /// Largest body that fits beside nothing else.
    std::size_t largestBody() const { return largeLimit(); }
    /// Whether a body that holds \a before bytes may hold \a after.
    bool admitsBody(std::size_t before, std::size_t after) const;
    /// Whether no large body fits any more, so that nothing should be read on behalf of those who do not take it.
    bool isScarce() const { return m_held >= largeLimit(); }
    std::size_t held() const { return m_held; }

private:
    friend class held_bytes;

    std::size_t largeLimit() const;

    std::size_t m_limit;
    std::size_t m_largestBody;
    std::size_t m_held = 0;
};

/// Part of a budget that one owner holds. It is given back when the owner ends.
class held_bytes {
public:
    explicit held_bytes(byte_budget& budget);
    ~held_bytes();
    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;

    /// Holds \a bytes from now on, for what is held already.
    void set(std::size_t bytes);
    /// Holds \a bytes of a body from now on; false, without a change, when the budget does not admit it.
    bool setBody(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    byte_budget& m_budget;
    std::size_t m_bytes = 0;
};

}
