const ipPattern =
  '^((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)$|^[0-9a-fA-F:]*:[0-9a-fA-F:.]+$';
const namePattern = '^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$';

const name = {type: 'string', pattern: namePattern} as const;
const address = {
  type: 'string',
  pattern: ipPattern,
  description: 'IP address to listen on; names are not resolved',
} as const;
const port = {
  type: 'integer',
  minimum: 0,
  maximum: 65535,
  description: 'TCP port; 0 selects a free port',
} as const;
const url = {type: 'string', pattern: '^https?://[^\\s/]+'} as const;

/** JSON schema of the settings of an entry host; the settings reference is generated from it. */
export const settingsSchema = {
  type: 'object',
  additionalProperties: false,
  required: ['host', 'fleet', 'zone', 'region', 'callers', 'peers', 'platform'],
  properties: {
    host: {...name, description: 'Name of this host, unique in the fleet'},
    fleet: {
      ...name,
      description: 'Name of the fleet; hosts of other fleets are rejected',
    },
    zone: {...name, description: 'Availability zone of this host'},
    region: {...name, description: 'Region of the availability zone'},
    callers: {
      type: 'object',
      description: 'HTTP server for callers and operators',
      additionalProperties: false,
      required: ['address', 'port'],
      properties: {
        address,
        port,
        maxBodyBytes: {
          type: 'integer',
          minimum: 1024,
          maximum: 268435456,
          default: 4194304,
          description: 'Maximum size of a request body, in bytes',
        },
        maxHeaderBytes: {
          type: 'integer',
          minimum: 1024,
          maximum: 1048576,
          default: 16384,
          description: 'Maximum total size of request headers, in bytes',
        },
        headersTimeoutMs: {
          type: 'integer',
          minimum: 100,
          maximum: 600000,
          default: 10000,
          description:
            'Timeout for receiving the request headers, in milliseconds',
        },
        requestTimeoutMs: {
          type: 'integer',
          minimum: 100,
          maximum: 600000,
          default: 30000,
          description:
            'Timeout for receiving the complete request, in milliseconds',
        },
        maxConnections: {
          type: 'integer',
          minimum: 1,
          maximum: 1000000,
          default: 20000,
          description: 'Maximum number of open connections',
        },
        memoryBytes: {
          type: 'integer',
          minimum: 1048576,
          description:
            'Maximum of the request bodies held over all connections, in bytes; at least twice `callers.maxBodyBytes`. If absent, 67108864 or that minimum',
        },
      },
    },
    peers: {
      type: 'object',
      description: 'gRPC server for other hosts',
      additionalProperties: false,
      required: ['address', 'port', 'tls'],
      properties: {
        address,
        port,
        seeds: {
          type: 'array',
          items: {type: 'string', pattern: '^.+:\\d+$'},
          default: [],
          description:
            'Hosts to contact until the host list is available, IP:PORT',
        },
        tls: {
          type: 'object',
          description:
            'Mutual TLS between hosts; unencrypted only if mode is plain',
          additionalProperties: false,
          required: ['mode'],
          properties: {
            mode: {enum: ['mutual', 'plain'], description: 'mutual or plain'},
            caFile: {type: 'string', description: 'CA certificate, PEM file'},
            certFile: {
              type: 'string',
              description: 'Certificate of this host, PEM file',
            },
            keyFile: {
              type: 'string',
              description: 'Private key of this host, PEM file',
            },
          },
          if: {properties: {mode: {const: 'mutual'}}},
          then: {required: ['caFile', 'certFile', 'keyFile']},
        },
      },
    },
    platform: {
      type: 'object',
      description: "The platform's services",
      additionalProperties: false,
      required: ['logUrl'],
      properties: {
        logUrl: {...url, description: 'Base URL of the log service'},
        hostListUrl: {...url, description: 'Base URL of the host list'},
        weightStoreUrl: {...url, description: 'Base URL of the weight store'},
      },
    },
    claims: {
      type: 'object',
      description: 'At-most-once claims',
      additionalProperties: false,
      default: {},
      properties: {
        partitions: {
          type: 'integer',
          minimum: 1,
          maximum: 1024,
          default: 64,
          description:
            'Number of claim streams; must be equal on all hosts of the fleet',
        },
        retentionMs: {
          type: 'integer',
          minimum: 1000,
          default: 86400000,
          description:
            'Time for which idempotency keys are protected, in milliseconds; at most the retention of the log',
        },
      },
    },
    operators: {
      type: 'array',
      default: [],
      description: 'Operators who may use the resource API',
      items: {
        type: 'object',
        additionalProperties: false,
        required: ['name', 'sha256'],
        properties: {
          name: {...name, description: 'Name that is recorded with each write'},
          sha256: {
            type: 'string',
            pattern: '^[0-9a-f]{64}$',
            description: 'SHA-256 digest of the token, hexadecimal',
          },
        },
      },
    },
    drainMs: {
      type: 'integer',
      minimum: 0,
      maximum: 3600000,
      default: 30000,
      description:
        'Maximum time for requests in flight to finish after SIGTERM, in milliseconds',
    },
    logLevel: {
      enum: ['debug', 'info', 'warn', 'error', 'silent'],
      default: 'info',
      description: 'Minimum level of log lines',
    },
  },
} as const;
