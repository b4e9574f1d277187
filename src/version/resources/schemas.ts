import {resourceKinds, tierCount, type ResourceKind} from './kinds.js';

/** Pattern of resource names. */
export const namePattern = '^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$';

/** RFC 3339 date and time with an offset. */
const timePattern =
  '^\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}(\\.\\d{1,9})?(Z|[+-]\\d{2}:\\d{2})$';

const name = {type: 'string', pattern: namePattern} as const;
const text = {type: 'string', minLength: 1, maxLength: 255} as const;
const milliseconds = {type: 'number', exclusiveMinimum: 0, maximum: 86_400_000};
const count = {type: 'integer', minimum: 1, maximum: 1_000_000};

/** JSON schemas of the specs, by kind. */
export const specSchemas: Record<ResourceKind, object> = {
  service: {
    type: 'object',
    additionalProperties: false,
    required: [
      'type',
      'version',
      'defaultTimeoutMs',
      'firstTokenTargetMs',
      'tokenTargetMs',
    ],
    properties: {
      type: {enum: ['model', 'plain']},
      model: text,
      version: text,
      defaultTimeoutMs: milliseconds,
      firstTokenTargetMs: milliseconds,
      tokenTargetMs: milliseconds,
      routes: {
        type: 'array',
        maxItems: 256,
        items: {
          type: 'object',
          additionalProperties: false,
          required: ['pathPrefix', 'idempotent'],
          properties: {
            pathPrefix: {type: 'string', pattern: '^/', maxLength: 1024},
            methods: {
              type: 'array',
              maxItems: 16,
              items: {type: 'string', pattern: '^[A-Z]+$'},
            },
            idempotent: {type: 'boolean'},
          },
        },
      },
      queueLimits: {
        type: 'array',
        maxItems: tierCount,
        items: {type: 'integer', minimum: 0, maximum: 1_000_000},
      },
    },
  },
  target: {
    type: 'object',
    additionalProperties: false,
    required: ['service', 'zone', 'address', 'version', 'maxConcurrency'],
    properties: {
      service: name,
      zone: name,
      address: {type: 'string', pattern: '^https?://[^\\s/]+$', maxLength: 255},
      version: text,
      hardware: text,
      maxConcurrency: count,
      coldConcurrency: count,
      checksFencing: {type: 'boolean'},
      state: {enum: ['active', 'leaving']},
    },
  },
  organisation: {
    type: 'object',
    additionalProperties: false,
    required: ['keys', 'weight'],
    properties: {
      keys: {
        type: 'array',
        maxItems: 256,
        items: {
          type: 'object',
          additionalProperties: false,
          required: ['id', 'sha256', 'tier'],
          properties: {
            id: text,
            sha256: {type: 'string', pattern: '^[0-9a-f]{64}$'},
            tier: {type: 'integer', minimum: 0, maximum: tierCount - 1},
          },
        },
      },
      weight: {type: 'number', exclusiveMinimum: 0, maximum: 1_000_000},
      limits: {
        type: 'object',
        additionalProperties: false,
        properties: {
          requestsPerSecond: {type: 'number', exclusiveMinimum: 0},
          concurrency: count,
        },
      },
    },
  },
  zone: {
    type: 'object',
    additionalProperties: false,
    required: ['region', 'state'],
    properties: {region: name, state: {enum: ['in', 'out']}},
  },
  rollout: {
    type: 'object',
    additionalProperties: false,
    required: [
      'service',
      'version',
      'deadline',
      'strategy',
      'canaryShare',
      'canaryInFlight',
      'watchPeriodSeconds',
      'control',
      'onConflict',
    ],
    properties: {
      service: name,
      version: text,
      deadline: {type: 'string', pattern: timePattern},
      strategy: {enum: ['surge', 'in-place']},
      canaryShare: {type: 'number', exclusiveMinimum: 0, maximum: 0.05},
      canaryInFlight: count,
      watchPeriodSeconds: {type: 'number', minimum: 0, maximum: 2_592_000},
      control: {enum: ['run', 'pause', 'take-back', 'force-forward']},
      onConflict: {enum: ['refuse', 'queue', 'supersede']},
    },
  },
};

/** JSON schema of a record in stream `config`; its spec is validated separately. */
export const recordSchema = {
  type: 'object',
  required: [
    'writeId',
    'actor',
    'time',
    'op',
    'kind',
    'name',
    'baseGeneration',
  ],
  properties: {
    writeId: {type: 'string', minLength: 1, maxLength: 255},
    actor: {type: 'string', maxLength: 255},
    time: {type: 'string', maxLength: 64},
    op: {enum: ['put', 'delete']},
    kind: {enum: Object.values(resourceKinds)},
    name,
    baseGeneration: {type: 'integer', minimum: -1},
  },
} as const;
