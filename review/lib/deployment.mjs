// Configuration of a small deployment, in the format of `fleetbench wire`.

/** Key of the only tenant. */
export const key = 'i9n73hh2b9wu3fexd9dn';

const route = {
  host: 'ficu95.example',
  priority: 1,
  public: false,
  sticky: false,
};

/** Routes: streams that may be resumed, streams that may not, and two of a plain service. */
export const routes = {
  resumable: {
    ...route,
    name: 'r-summary',
    pathPrefix: '/pufi791/',
    kind: 'streaming',
    timeoutMs: 12000,
    targetLatencyMs: 400,
    service: 'huvo11a',
    attempts: 2,
    sticky: true,
    streamResume: true,
    gapAimMs: 400,
  },
  stream: {
    ...route,
    name: 'r-digest',
    pathPrefix: '/lohu930/',
    kind: 'streaming',
    timeoutMs: 15000,
    targetLatencyMs: 800,
    priority: 0,
    service: 'huvo11a',
    attempts: 1,
    sticky: true,
    streamResume: false,
    gapAimMs: 400,
  },
  unsafe: {
    ...route,
    name: 'r-dispatch',
    pathPrefix: '/puxa403/',
    kind: 'non_idempotent',
    timeoutMs: 1000,
    targetLatencyMs: 121,
    priority: 2,
    service: 'wuno96b',
    attempts: 1,
  },
  safe: {
    ...route,
    name: 'r-lookup',
    pathPrefix: '/cufi504/',
    kind: 'idempotent',
    timeoutMs: 1000,
    targetLatencyMs: 121,
    priority: 2,
    service: 'wuno96b',
    attempts: 2,
  },
};

export const configuration = {
  version: 7,
  routes: Object.values(routes),
  services: [
    {
      name: 'huvo11a',
      healthCheck: '/health',
      maxConnections: 370,
      protocol: 'h1',
      tls: false,
      coldStartS: 3,
      coldPerS: 13,
      engine: {
        slots: 11,
        kvTokens: 616564,
        kvBytes: 18432,
        linkMbps: 130000,
        moves: true,
        backups: true,
        stride: 6,
        most: 12,
        pinMs: 4000,
        holdMs: 2000,
        handleS: 5,
        models: [{name: 'm'}],
      },
    },
    {
      name: 'wuno96b',
      healthCheck: '/health',
      maxConnections: 110,
      protocol: 'h1',
      tls: false,
      coldStartS: 0,
      coldPerS: 0,
    },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: [
    {
      name: 'hule930',
      apiKeys: [key],
      priority: 1,
      unit: 'token_stream',
      plainTokens: 200,
      ratePerS: 0,
      burst: 0,
    },
  ],
};

/** Headers of a request to an engine. */
export function promptHeaders(id, deadlineMs) {
  return {
    'X-Request-Id': id,
    'X-Model': 'm',
    'X-Token-Count': '1460,480',
    'X-Prompt-Prefix': `5c1e07a2:800,91bd3f06:410,${id}:250`,
    'X-Deadline-Ms': deadlineMs,
    'X-Key': key,
  };
}

/** Headers of a request to a plain service. */
export function plainHeaders(id, deadlineMs) {
  return {'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, 'X-Key': key};
}

/** An id that no other request has. */
export function newId(number) {
  return number.toString(16).padStart(16, '0');
}
