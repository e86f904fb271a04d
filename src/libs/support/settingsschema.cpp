#include "settingsschema.h"

namespace ragwortreach {

namespace {

    constexpr std::string_view schemaText = R"json({
  "$schema": "http://json-schema.org/draft-04/schema#",
  "type": "object",
  "description": "a JSON object with the settings of one daemon",
  "additionalProperties": false,
  "required": [
    "vm",
    "data_centre",
    "region",
    "listen",
    "platform"
  ],
  "properties": {
    "vm": {
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$",
      "maxLength": 128,
      "description": "a name of letters, digits, dots, dashes and underscores that begins with a letter or digit, of at most 128 characters"
    },
    "data_centre": {
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$",
      "maxLength": 128,
      "description": "a name of letters, digits, dots, dashes and underscores that begins with a letter or digit, of at most 128 characters"
    },
    "region": {
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$",
      "maxLength": 128,
      "description": "a name of letters, digits, dots, dashes and underscores that begins with a letter or digit, of at most 128 characters"
    },
    "listen": {
      "type": "object",
      "description": "an object with the addresses caller, admin, gossip and peer",
      "additionalProperties": false,
      "required": [
        "caller",
        "admin",
        "gossip",
        "peer"
      ],
      "properties": {
        "caller": {
          "type": "string",
          "pattern": "^([0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+|\\[[0-9a-fA-F:.]+\\]):[0-9]+$",
          "description": "an IP number and a port, such as 127.0.0.1:8080"
        },
        "admin": {
          "type": "string",
          "pattern": "^([0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+|\\[[0-9a-fA-F:.]+\\]):[0-9]+$",
          "description": "an IP number and a port, such as 127.0.0.1:8080"
        },
        "gossip": {
          "type": "string",
          "pattern": "^([0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+|\\[[0-9a-fA-F:.]+\\]):[0-9]+$",
          "description": "an IP number and a port, such as 127.0.0.1:8080"
        },
        "peer": {
          "type": "string",
          "pattern": "^([0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+|\\[[0-9a-fA-F:.]+\\]):[0-9]+$",
          "description": "an IP number and a port, such as 127.0.0.1:8080"
        }
      }
    },
    "platform": {
      "type": "object",
      "description": "an object with the addresses log, vm_list and weight_store",
      "additionalProperties": false,
      "required": [
        "log",
        "vm_list",
        "weight_store"
      ],
      "properties": {
        "log": {
          "type": "string",
          "pattern": "^([0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+|\\[[0-9a-fA-F:.]+\\]):[0-9]+$",
          "description": "an IP number and a port, such as 127.0.0.1:8080"
        },
        "vm_list": {
          "type": "string",
          "pattern": "^([0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+|\\[[0-9a-fA-F:.]+\\]):[0-9]+$",
          "description": "an IP number and a port, such as 127.0.0.1:8080"
        },
        "weight_store": {
          "type": "string",
          "pattern": "^([0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+|\\[[0-9a-fA-F:.]+\\]):[0-9]+$",
          "description": "an IP number and a port, such as 127.0.0.1:8080"
        }
      }
    },
    "limits": {
      "type": "object",
      "description": "an object with the numbers header_bytes and body_bytes",
      "additionalProperties": false,
      "properties": {
        "header_bytes": {
          "type": "integer",
          "minimum": 1024,
          "maximum": 1048576,
          "description": "a whole number of bytes from 1024 to 1048576"
        },
        "body_bytes": {
          "type": "integer",
          "minimum": 1024,
          "maximum": 1073741824,
          "description": "a whole number of bytes from 1024 to 1073741824"
        }
      }
    },
    "drain": {
      "type": "object",
      "description": "an object with the numbers unready_ms and stream_bound_ms",
      "additionalProperties": false,
      "properties": {
        "unready_ms": {
          "type": "integer",
          "minimum": 0,
          "maximum": 600000,
          "description": "a whole number of milliseconds from 0 to 600000"
        },
        "stream_bound_ms": {
          "type": "integer",
          "minimum": 0,
          "maximum": 86400000,
          "description": "a whole number of milliseconds from 0 to 86400000"
        }
      }
    },
    "log": {
      "type": "object",
      "description": "an object with the strings file and level",
      "additionalProperties": false,
      "properties": {
        "file": {
          "type": "string",
          "maxLength": 4096,
          "description": "the path of the log file, or an empty string for standard output"
        },
        "level": {
          "type": "string",
          "enum": [
            "debug",
            "info",
            "warning",
            "error"
          ],
          "description": "one of debug, info, warning and error"
        }
      }
    },
    "seed": {
      "type": "integer",
      "minimum": 0,
      "maximum": 9007199254740991,
      "description": "a whole number from 0 to 9007199254740991"
    }
  }
}
)json";

}

std::string_view settingsSchema()
{
    return schemaText;
}

}
