#pragma once

#include <string>
#include <string_view>

namespace ragwortreach {

class catalogue_table;

/// Writes the state of a catalogue_table as JSON text and reads it again.
class catalogue_state_codec {
public:
    /// Complete state of \a table.
    static std::string encode(const catalogue_table& table);
    /// State of \a table that decides later verdicts, without messages, history and gaps; the input of its hash.
    static std::string canonical(const catalogue_table& table);
    /// Decodes the output of encode(). Returns false and leaves \a table unchanged when \a text is malformed.
    static bool decode(std::string_view text, catalogue_table& table);

private:
    struct parts;
};

}
