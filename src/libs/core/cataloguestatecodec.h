#pragma once

#include <string>
#include <string_view>

namespace ragwortreach {

class catalogue_fold;

/// Writes the state of a catalogue_fold as JSON text and reads it again.
class catalogue_state_codec {
public:
    /// Whole state of \a fold.
    static std::string encode(const catalogue_fold& fold);
    /// State of \a fold that decides later verdicts, without the sentences and the history.
    static std::string canonical(const catalogue_fold& fold);
    /// Reads what encode() wrote. Returns false and leaves \a fold as it was when \a text is malformed.
    static bool decode(std::string_view text, catalogue_fold& fold);

private:
    struct parts;
};

}
