#pragma once

#include <string>
#include <string_view>

namespace ragwortreach {

class catalogue_table;

/// Writes the state of a catalogue_table as JSON text and reads it again.
class catalogue_state_codec {
public:
    /// Whole state of \a fold.
    static std::string encode(const catalogue_table& table);
    /// State of \a fold that decides later verdicts, without the sentences and the history.
    static std::string canonical(const catalogue_table& table);
    /// Reads what encode() wrote. Returns false and leaves \a fold as it was when \a text is malformed.
    static bool decode(std::string_view text, catalogue_table& table);

private:
    struct parts;
};

}
