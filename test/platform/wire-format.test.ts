import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformWireFormat} from '../../platform/wire-format.js';

const wire = new PlatformWireFormat();

function toHeaderMap(list: readonly string[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let i = 0; i < list.length; i += 2) {
    headers.set(list[i].toLowerCase(), list[i + 1]);
  }
  return headers;
}

test('a caller cannot forge headers that only the gateway may set', () => {
  const forged = [
    'X-Hold',
    'X-Pin-Ms',
    'X-Kv-Backup',
    'Kv-From',
    'Kv-Fetch',
    'X-Tenant',
    'X-Expect-Instance',
    'X-Expect-Version',
  ];
  const caller = wire.readCaller([
    'Host',
    'h.example',
    'X-Request-Id',
    'r',
    'X-Key',
    'secret',
    ...forged.flatMap(name => [name, 'forged']),
  ]);
  const sent = wire.targetHeaders(caller, {
    deadlineMs: 900.7,
    targetId: 'i-1',
    organisation: 'o',
  });
  assert.ok(!sent.includes('forged') && !sent.includes('secret'));
  const headers = toHeaderMap(sent);
  assert.equal(headers.get('x-tenant'), 'o');
  assert.equal(headers.get('x-expect-instance'), 'i-1');
  assert.equal(headers.get('x-deadline-ms'), '900');
  assert.equal(headers.get('x-request-id'), 'r');
});

test('headers listed in a Connection header are not forwarded', () => {
  const caller = wire.readCaller([
    'Connection',
    'close, X-Private',
    'X-Private',
    '1',
    'X-Kept',
    '2',
  ]);
  assert.deepEqual(caller.forwarded, ['X-Kept', '2']);
});

// The caller's own Last-Event-Id is older than the last event relayed; two of them would be ambiguous.
test('a resumed stream has exactly one Last-Event-Id header', () => {
  const caller = wire.readCaller(['Last-Event-Id', '3']);
  const sent = wire.targetHeaders(caller, {
    deadlineMs: 1,
    targetId: 'i',
    lastEventId: '7',
  });
  assert.deepEqual(
    sent.filter((_, i) => sent[i - 1] === 'Last-Event-Id'),
    ['7'],
  );
});

test('token counts, prompt parts and deadline are decoded, and malformed ones omitted', () => {
  const caller = wire.readCaller([
    'X-Token-Count',
    '1460,80',
    'X-Prompt-Prefix',
    '5c1e:800,nothing,91bd:410',
    'X-Deadline-Ms',
    'soon',
  ]);
  assert.equal(caller.promptTokens, 1460);
  assert.equal(caller.maxOutputTokens, 80);
  assert.deepEqual(caller.parts.at(-1), {id: '91bd', tokens: 410});
  assert.equal(caller.parts.length, 2);
  assert.equal(caller.deadlineMs, undefined);
});

test('a response head states whether the request ran and whether the body length is known', () => {
  const refused = wire.readResponse(503, {'x-not-executed': '1'});
  assert.equal(refused.notRun, true);
  assert.equal(wire.readResponse(421, {}).notRun, true);
  const unframed = wire.readResponse(200, {'x-server-load': '3,1,8'});
  assert.equal(unframed.framed, false);
  assert.deepEqual(unframed.load, {running: 3, waiting: 1, slots: 8});
  assert.equal(wire.readResponse(200, {'content-length': '3'}).framed, true);
});
