import {readFile} from 'node:fs/promises';
import {Ajv, type ErrorObject} from 'ajv';
import {FailureError} from './errors/catalogue.js';
import {settingsSchema} from './settings-schema.js';

/** Address and port that a server listens on. */
export interface ListenSettings {
  /** IP address; names are not resolved. */
  readonly address: string;
  /** TCP port; 0 selects a free port. */
  readonly port: number;
}

/** Settings of one entry host. */
export interface Settings {
  /** Name of the host, unique in the fleet. */
  readonly host: string;
  /** Name of the fleet; hosts of other fleets are rejected. */
  readonly fleet: string;
  /** Availability zone of the host. */
  readonly zone: string;
  /** Region of the zone. */
  readonly region: string;
  /** HTTP server for callers and operators. */
  readonly callers: ListenSettings & {
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly headersTimeoutMs: number;
    readonly requestTimeoutMs: number;
    readonly maxConnections: number;
    readonly memoryBytes?: number;
  };
  /** gRPC server for other hosts. */
  readonly peers: ListenSettings & {
    /** Hosts to contact until the host list is available, as `IP:PORT`. */
    readonly seeds: readonly string[];
    /** Certificate files for mutual TLS; unencrypted links need an explicit `plain`. */
    readonly tls: {
      readonly mode: 'mutual' | 'plain';
      readonly caFile?: string;
      readonly certFile?: string;
      readonly keyFile?: string;
    };
  };
  /** The platform's services. */
  readonly platform: {
    readonly logUrl: string;
    readonly hostListUrl?: string;
    readonly weightStoreUrl?: string;
  };
  /** At-most-once claims. */
  readonly claims: {
    readonly partitions: number;
    readonly retentionMs: number;
  };
  /** Operators who may use the resource API. */
  readonly operators: readonly {
    readonly name: string;
    readonly sha256: string;
  }[];
  /** Maximum time for requests in flight to finish after SIGTERM, in milliseconds. */
  readonly drainMs: number;
  readonly logLevel: string;
}

const validate = new Ajv({
  allErrors: true,
  useDefaults: true,
  strict: true,
  strictRequired: false,
}).compile<Settings>(settingsSchema);

/**
 * Reads and validates a settings file.
 *
 * @param file - Path of the file.
 * @returns The settings, with defaults for omitted keys.
 * @throws {@link FailureError} of kind `settings-*`.
 */
export async function loadSettings(file: string): Promise<Settings> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? 'unknown error';
    throw new FailureError({kind: 'settings-unreadable', file, reason});
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    const reason = (err as SyntaxError).message;
    throw new FailureError({kind: 'settings-not-json', file, reason});
  }
  return checkSettings(value);
}

/**
 * Validates parsed settings.
 *
 * @param value - Parsed settings; defaults are added in place.
 * @returns The same object as settings.
 * @throws {@link FailureError} of kind `settings-*`, for the first error found.
 */
export function checkSettings(value: unknown): Settings {
  if (validate(value)) {
    const {maxBodyBytes, memoryBytes} = value.callers;
    if (memoryBytes === undefined || memoryBytes >= 2 * maxBodyBytes) {
      return value;
    }
    throw new FailureError({
      kind: 'settings-invalid-value',
      path: 'callers.memoryBytes',
      reason: 'must be at least twice callers.maxBodyBytes',
    });
  }
  throw new FailureError(toFailure((validate.errors as ErrorObject[])[0]));
}

function toFailure(err: ErrorObject): FailureError['failure'] {
  const parent = err.instancePath.slice(1).replaceAll('/', '.');
  const join = (key: string) => (parent ? `${parent}.${key}` : key);
  if (err.keyword === 'additionalProperties') {
    return {
      kind: 'settings-unknown-key',
      path: join(err.params['additionalProperty'] as string),
    };
  }
  if (err.keyword === 'required') {
    return {
      kind: 'settings-missing-key',
      path: join(err.params['missingProperty'] as string),
    };
  }
  return {
    kind: 'settings-invalid-value',
    path: parent || '(root)',
    reason: err.message ?? 'is invalid',
  };
}
