import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  fromWire,
  permitsMethod,
  toWire,
} from '../../../src/connection/peer/permit-codec.js';
import type {PermitFrame} from '../../../src/process/groups/permit-messages.js';
import type {QueuedRequest} from '../../../src/request/scheduler/types.js';

/** Header of an HTTP/2 DATA frame (9 bytes) and prefix of a gRPC message (5 bytes). */
const framingBytes = 9 + 5;

const request: QueuedRequest = {
  id: 'h1/1',
  host: 'h1',
  service: 's',
  route: '/v1/chat/completions',
  organisation: 'himalchuli-crews',
  weight: 2.5,
  tier: 2,
  idempotent: true,
  timeoutMs: 60_000,
  promptTokens: 12_000,
  maxTokens: 2048,
  wholeAnswer: true,
  prefixes: Array.from({length: 16}, (_, i) => `${i + 16}`.padStart(16, 'f')),
  attempt: 1,
  avoid: [],
};

function encode(frame: PermitFrame): Buffer {
  return permitsMethod.requestSerialize(toWire(frame));
}

function decode(bytes: Buffer): PermitFrame {
  return fromWire(permitsMethod.requestDeserialize(bytes), 'h1');
}

test('the permit of one request takes at most 300 bytes with framing', () => {
  // A serial starts below 2^40; the sequence numbers are those of a link after a million permits.
  const serial = 2 ** 40;
  const frames: PermitFrame[] = [
    {
      sequence: 2_000_000,
      body: {kind: 'request', ref: 300, waiting: {serial, request}},
    },
    {
      sequence: 1_000_000,
      body: {
        kind: 'grant',
        ref: 300,
        serial,
        target: 'pokhara-engine-accelerator-12',
        cachedTokens: 11_000,
      },
    },
    {
      sequence: 2_000_001,
      body: {
        kind: 'release',
        ref: 300,
        serial,
        outcome: {
          result: 'ok',
          firstTokenMs: 480.25,
          totalMs: 59_000,
          tokens: 2048,
          cachedTokens: 11_000,
        },
      },
    },
  ];
  const sizes = frames.map(frame => encode(frame).length + framingBytes);
  const total = sizes.reduce((sum, size) => sum + size, 0);
  console.log(`# bytes of request, grant and release: ${sizes} = ${total}`);
  assert.ok(total <= 300, `${sizes} = ${total}`);
});

test('messages come out of the codec as they went in', () => {
  const sent = {...request, prefixes: request.prefixes.slice(0, 8)};
  const outcome = {result: 'not-started' as const, totalMs: 7, tokens: 0};
  const bodies: PermitFrame['body'][] = [
    undefined,
    {
      kind: 'follow',
      ref: 1,
      group: 'a/s/0',
      foreign: false,
      zoneHosts: 5,
      outstanding: [
        {serial: 1, request: sent, target: 't', ageMs: 5, tokens: 9},
      ],
      waiting: [{serial: 1, request: sent}],
      last: true,
    },
    {kind: 'release', ref: 1, serial: 2, outcome},
    {kind: 'progress', ref: 1, serial: 2, tokens: 3},
    {kind: 'progress', ref: 1, serial: 2, tokens: 3, firstTokenMs: 0},
    {kind: 'preempt', ref: 1, serial: 2, force: true},
    {kind: 'preempt', ref: 1, serial: 2, force: false},
    {kind: 'declined', ref: 1, serial: 2},
    {kind: 'refuse', ref: 1, serial: 2, reason: 'queue-full'},
    {kind: 'unfollowed', ref: 1, held: true, settled: false},
    {kind: 'freeSlots', ref: 1, slots: 0},
  ];
  bodies.forEach((body, sequence) => {
    const frame = body ? {sequence, body} : {sequence};
    assert.deepEqual(decode(encode(frame)), frame);
  });
});

test('a refusal reason of a later version is taken as overload, not passed on', () => {
  const body = {kind: 'refuse', ref: 1, serial: 2, reason: 'new-reason'};
  const frame = {sequence: 1, body} as unknown as PermitFrame;
  const decoded = decode(encode(frame)).body;
  assert.ok(decoded?.kind === 'refuse');
  assert.equal(decoded.reason, 'overloaded');
});

test('of many prefixes the shortest and the longest are sent', () => {
  const body = {
    kind: 'request' as const,
    ref: 1,
    waiting: {serial: 1, request},
  };
  const decoded = decode(encode({sequence: 1, body})).body;
  assert.ok(decoded?.kind === 'request');
  const {prefixes} = decoded.waiting.request;
  assert.equal(prefixes.length, 8);
  assert.equal(prefixes[0], request.prefixes[0]);
  assert.equal(prefixes.at(-1), request.prefixes.at(-1));
});
