#pragma once

#include <string_view>

namespace ragwortreach {

/// JSON schema (draft 4) of the body of a catalogue entry, the same text as docs/catalogue.schema.json.
std::string_view catalogueSchema();

}
