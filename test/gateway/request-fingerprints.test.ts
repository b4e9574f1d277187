import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformWireFormat} from '../../platform/wire-format.js';
import {
  requestFingerprints,
  type FingerprintedRequest,
} from '../../src/request/gateway/request-fingerprints.js';
import {configuration} from './gateway-fakes.js';

const wire = new PlatformWireFormat();

function fingerprintsOf(
  change: Partial<FingerprintedRequest> & {id?: string; prefix?: string},
): string[] {
  const {id = 'r1', prefix = 'aa:60,bb:100,cc:7', ...rest} = change;
  const head = wire.readCaller([
    'Host',
    'h.example',
    'X-Request-Id',
    id,
    'X-Prompt-Prefix',
    prefix,
  ]);
  return requestFingerprints({
    head,
    method: 'POST',
    url: '/stream/x',
    body: Buffer.from('body'),
    service: 's',
    organisation: configuration.organisations[0],
    ...rest,
  });
}

// Guards against a request that crashes targets and is taken for another one when it comes with a new id.
test('a request has the same fingerprint when it comes with another id', () => {
  assert.deepEqual(fingerprintsOf({id: 'r2'}), fingerprintsOf({id: 'r1'}));
});

// Guards against refusing sound requests for one that differs in its caller, path, method or body.
test('requests that differ in caller, path, method, body or service have different fingerprints', () => {
  const all = [
    fingerprintsOf({}),
    fingerprintsOf({organisation: undefined}),
    fingerprintsOf({url: '/stream/y'}),
    fingerprintsOf({method: 'PUT'}),
    fingerprintsOf({body: Buffer.from('other')}),
    fingerprintsOf({service: 't'}),
  ].map(([whole]) => whole);
  assert.equal(new Set(all).size, all.length);
});

// Guards against a crashing prompt part that is not recognized in requests which share nothing else, and against one
// that is blamed by a session's own part.
test('requests that share prompt parts share their fingerprints, except that of the last part', () => {
  const [whole, ...parts] = fingerprintsOf({});
  const [other, ...otherParts] = fingerprintsOf({
    prefix: 'dd:60,bb:100,cc:7',
    body: Buffer.from('other'),
    organisation: undefined,
  });
  assert.notEqual(whole, other);
  assert.equal(parts.length, 2);
  assert.equal(parts[0], otherParts[0]);
  assert.notEqual(parts[1], otherParts[1]);
});

// Guards against memory that a caller fills with made-up parts.
test('the number of fingerprints of one request is bounded', () => {
  const prefix = Array.from({length: 5000}, (_, i) => `${i}:1`).join(',');
  assert.equal(fingerprintsOf({prefix}).length, 17);
});
