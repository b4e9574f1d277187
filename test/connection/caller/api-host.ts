import {createHash} from 'node:crypto';
import type {TestContext} from 'node:test';
import {request} from 'undici';
import {checkSettings} from '../../../src/process/settings.js';
import {createHost} from '../../../src/wiring.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {settle} from '../../version/settle.js';
import {SharedLog, TestLog} from '../../version/test-log.js';

export const operatorToken = 'operator-token';
export const callerKey = 'caller-key';

const sha256 = (text: string) =>
  createHash('sha256').update(text).digest('hex');

/** Starts a host that serves the resource API from an in-memory log. */
export async function startApiHost(t: TestContext, shared = new SharedLog()) {
  const clock = new ManualClock();
  const log = new TestLog(shared);
  log.blocking = true;
  const host = createHost(
    checkSettings({
      host: 'h1',
      fleet: 'test',
      zone: 'a',
      region: 'r',
      callers: {address: '127.0.0.1', port: 0},
      peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
      platform: {logUrl: 'http://127.0.0.1:1'},
      operators: [{name: 'ann', sha256: sha256(operatorToken)}],
      logLevel: 'silent',
    }),
    {clock, log, random: () => 0.5},
  );
  const {callersPort} = await host.start();
  await settle();
  const origin = `http://127.0.0.1:${callersPort}`;
  t.after(async () => {
    const stopped = host.stop();
    shared.wake();
    await stopped;
  });
  const call = async (
    method: 'GET' | 'PUT' | 'PATCH' | 'DELETE' | 'POST',
    path: string,
    options: {
      body?: unknown;
      token?: string;
      headers?: Record<string, string>;
    } = {},
  ) => {
    const {body, token = operatorToken, headers = {}} = options;
    const res = await request(`${origin}/api/v1/${path}`, {
      method,
      headers: {
        ...(token && {authorization: `Bearer ${token}`}),
        ...headers,
      },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      headers: res.headers,
      body: (text ? JSON.parse(text) : undefined) as Record<string, never>,
    };
  };
  return {origin, shared, log, clock, call};
}

export const organisation = {
  keys: [{id: 'k', sha256: sha256(callerKey), tier: 0}],
  weight: 1,
};

/** Spec of a plain service `s`. */
export const service = {
  type: 'plain',
  version: 'v1',
  defaultTimeoutMs: 1000,
  firstTokenTargetMs: 100,
  tokenTargetMs: 10,
};

/** Spec of a target of service `s` in zone `a`. */
export const target = {
  service: 's',
  zone: 'a',
  address: 'http://127.0.0.1:9',
  version: 'v1',
  maxConcurrency: 2,
};
