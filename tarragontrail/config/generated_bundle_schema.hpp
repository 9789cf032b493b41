#pragma once

namespace tarragontrail::config {

/// JSON Schema of the bundle.
inline constexpr const char* bundle_schema_text = R"schema({
 "$schema": "http://json-schema.org/draft-07/schema#",
 "title": "Bundle",
 "description": "All configuration of the fleet in one version.",
 "type": "object",
 "additionalProperties": false,
 "required": [
  "version",
  "regions",
  "workspaces",
  "open_routes",
  "models",
  "upstreams",
  "service_routes",
  "limits",
  "rollout"
 ],
 "properties": {
  "version": {
   "type": "integer",
   "minimum": 1,
   "description": "Grows by one with each accepted bundle."
  },
  "regions": {
   "type": "array",
   "minItems": 1,
   "description": "Regions with their failure domains.",
   "items": {
    "type": "object",
    "description": "Region.",
    "additionalProperties": false,
    "required": [
     "name",
     "failure_domains"
    ],
    "properties": {
     "name": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64
     },
     "failure_domains": {
      "type": "array",
      "items": {
       "type": "string",
       "minLength": 1,
       "maxLength": 64
      },
      "minItems": 1
     }
    }
   }
  },
  "workspaces": {
   "type": "array",
   "description": "Workspaces with their rates and keys.",
   "items": {
    "$ref": "#/definitions/workspace"
   }
  },
  "open_routes": {
   "type": "array",
   "description": "Paths served without a key.",
   "items": {
    "type": "string",
    "minLength": 1,
    "maxLength": 256
   }
  },
  "models": {
   "type": "array",
   "description": "Models that the fleet serves.",
   "items": {
    "type": "object",
    "description": "Model.",
    "additionalProperties": false,
    "required": [
     "name",
     "weights_version",
     "adapters",
     "minimum_engines"
    ],
    "properties": {
     "name": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64
     },
     "weights_version": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64
     },
     "adapters": {
      "type": "array",
      "items": {
       "type": "string",
       "minLength": 1,
       "maxLength": 64
      }
     },
     "minimum_engines": {
      "type": "integer",
      "minimum": 0,
      "maximum": 4294967295,
      "description": "Engines that must hold it."
     }
    }
   }
  },
  "upstreams": {
   "type": "array",
   "description": "Model engines and plain services.",
   "items": {
    "type": "object",
    "description": "Upstream.",
    "additionalProperties": false,
    "required": [
     "name",
     "kind",
     "address",
     "port",
     "region",
     "failure_domain",
     "model",
     "weights_version",
     "adapters",
     "checks_fence",
     "state"
    ],
    "properties": {
     "name": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64
     },
     "kind": {
      "enum": [
       "engine",
       "service"
      ]
     },
     "address": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64,
      "description": "Numeric IP address."
     },
     "port": {
      "type": "integer",
      "minimum": 1,
      "maximum": 65535
     },
     "region": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64
     },
     "failure_domain": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64
     },
     "model": {
      "type": "string",
      "maxLength": 64,
      "description": "Model held at first; empty for plain services."
     },
     "weights_version": {
      "type": "string",
      "maxLength": 64
     },
     "adapters": {
      "type": "array",
      "items": {
       "type": "string",
       "minLength": 1,
       "maxLength": 64
      }
     },
     "checks_fence": {
      "type": "boolean",
      "description": "Whether it refuses orders with an old fencing number."
     },
     "state": {
      "enum": [
       "ready",
       "draining"
      ]
     }
    }
   }
  },
  "service_routes": {
   "type": "array",
   "description": "Routes to plain services.",
   "items": {
    "type": "object",
    "description": "Route.",
    "additionalProperties": false,
    "required": [
     "path_prefix",
     "upstreams",
     "idempotent_methods"
    ],
    "properties": {
     "path_prefix": {
      "type": "string",
      "minLength": 1,
      "maxLength": 256
     },
     "upstreams": {
      "type": "array",
      "items": {
       "type": "string",
       "minLength": 1,
       "maxLength": 64
      },
      "minItems": 1
     },
     "idempotent_methods": {
      "type": "array",
      "items": {
       "enum": [
        "GET",
        "HEAD",
        "OPTIONS",
        "PUT",
        "DELETE",
        "POST",
        "PATCH"
       ]
      }
     }
    }
   }
  },
  "limits": {
   "type": "object",
   "description": "Limits of every request.",
   "additionalProperties": false,
   "required": [
    "request_bytes",
    "output_tokens",
    "queued_requests",
    "request_timeout_ms"
   ],
   "properties": {
    "request_bytes": {
     "type": "integer",
     "minimum": 1,
     "maximum": 4294967295
    },
    "output_tokens": {
     "type": "integer",
     "minimum": 1,
     "maximum": 4294967295
    },
    "queued_requests": {
     "type": "integer",
     "minimum": 1,
     "maximum": 4294967295
    },
    "request_timeout_ms": {
     "type": "integer",
     "minimum": 1,
     "maximum": 4294967295
    }
   }
  },
  "rollout": {
   "type": "array",
   "maxItems": 16,
   "description": "Steps; after the last, every instance applies the bundle.",
   "items": {
    "type": "object",
    "description": "Step.",
    "additionalProperties": false,
    "required": [
     "failure_domains"
    ],
    "properties": {
     "failure_domains": {
      "type": "array",
      "items": {
       "type": "string",
       "minLength": 1,
       "maxLength": 64
      },
      "minItems": 1
     }
    }
   }
  }
 },
 "definitions": {
  "workspace": {
   "type": "object",
   "description": "Workspace.",
   "additionalProperties": false,
   "required": [
    "name",
    "tokens_per_second",
    "burst_tokens",
    "priority",
    "keys"
   ],
   "properties": {
    "name": {
     "type": "string",
     "minLength": 1,
     "maxLength": 64
    },
    "tokens_per_second": {
     "type": "integer",
     "minimum": 1,
     "maximum": 4294967295,
     "description": "Rate over all instances together."
    },
    "burst_tokens": {
     "type": "integer",
     "minimum": 1,
     "maximum": 4294967295,
     "description": "Burst over all instances together."
    },
    "priority": {
     "type": "integer",
     "minimum": 0,
     "maximum": 9
    },
    "keys": {
     "type": "array",
     "maxItems": 1000,
     "items": {
      "type": "object",
      "description": "Key.",
      "additionalProperties": false,
      "required": [
       "sha256",
       "id",
       "state"
      ],
      "properties": {
       "sha256": {
        "type": "string",
        "minLength": 64,
        "maxLength": 64,
        "description": "SHA-256 of the key in lower-case hexadecimal."
       },
       "id": {
        "type": "integer",
        "minimum": 0,
        "maximum": 4294967295,
        "description": "Operators' number of the key."
       },
       "state": {
        "enum": [
         "active",
         "withdrawn"
        ]
       }
      }
     }
    }
   }
  }
 }
}
)schema";

} // namespace tarragontrail::config
