import {maxBodyBytes} from './bodies.js';

/** Host header of requests. */
export const authority = 'ficu95.example';
/** Key of the only organisation. */
export const apiKey = 'i9n73hh2b9wu3fexd9dn';

function route(name: string, pathPrefix: string, kind: string) {
  return {
    name,
    host: authority,
    pathPrefix,
    kind,
    timeoutMs: 30_000,
    targetLatencyMs: 400,
    priority: 1,
    public: false,
    service: name,
    attempts: 1,
    sticky: false,
    streamResume: false,
    gapAimMs: 400,
  };
}

function service(name: string) {
  return {
    name,
    healthCheck: '/health',
    maxConnections: 64,
    protocol: 'h1',
    tls: false,
    coldStartS: 0,
    coldPerS: 0,
  };
}

/** A configuration with three plain services and one of engines. */
export const configuration = {
  version: 1,
  routes: [
    route('plain', '/cufi504/', 'idempotent'),
    route('stream', '/lohu930/', 'streaming'),
    route('late', '/puxa403/', 'idempotent'),
    route('large', '/gezo217/', 'idempotent'),
    route('medium', '/hadi338/', 'idempotent'),
  ],
  services: [
    service('plain'),
    service('late'),
    service('large'),
    service('medium'),
    {
      ...service('stream'),
      engine: {
        slots: 11,
        kvTokens: 616_564,
        kvBytes: 18_432,
        linkMbps: 130_000,
        stride: 6,
        most: 12,
        models: [{name: 'm'}],
      },
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
  tenants: [
    {
      name: 'o',
      apiKeys: [apiKey],
      priority: 1,
      unit: 'token_stream',
      plainTokens: 200,
      ratePerS: 0,
      burst: 0,
    },
  ],
};
