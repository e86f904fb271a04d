#include "catalogueschema.h"

namespace ragwortreach {

std::string_view catalogueSchema()
{
    return R"json({
    "$schema": "http://json-schema.org/draft-04/schema#",
    "title": "Body of a catalogue entry",
    "type": "object",
    "additionalProperties": false,
    "required": ["owner", "class", "kind", "upstream"],
    "properties": {
        "owner": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$" },
        "class": { "type": "string", "enum": ["customer", "training"] },
        "kind": { "type": "string", "enum": ["model", "service"] },
        "upstream": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$" },
        "scorer": { "type": "string", "maxLength": 64, "pattern": "^[A-Za-z0-9._-]*$" },
        "due_ms": { "type": "integer", "minimum": 1, "maximum": 3600000 },
        "idempotent": { "type": "boolean" },
        "limits": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
                "requests_per_second": { "type": "integer", "minimum": 1, "maximum": 1000000 },
                "in_flight": { "type": "integer", "minimum": 1, "maximum": 100000 },
                "queue": { "type": "integer", "minimum": 0, "maximum": 100000 }
            }
        },
        "staleness": {
            "type": "object",
            "additionalProperties": false,
            "required": ["versions"],
            "properties": {
                "versions": { "type": "integer", "minimum": 0, "maximum": 1000000 },
                "age_ms": { "type": "integer", "minimum": 1, "maximum": 86400000 }
            }
        },
        "look_ahead": { "type": "string", "enum": ["fresh", "busy"] },
        "log_outage": { "type": "string", "enum": ["refuse", "run_once"] }
    }
}
)json";
}

}
