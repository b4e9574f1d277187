import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformWireFormat} from '../../platform/wire-format.js';
import {Logger} from '../../src/process/logger.js';
import {TargetStatements} from '../../src/process/pool/target-statements.js';

const wire = new PlatformWireFormat();

// Guards against a limit that no part of the program reads.
test('the limit that a target states is decoded, also as a fraction', () => {
  const limitOf = (value?: string) =>
    wire.readResponse(200, {'server-limit': value}).limitPerSecond;
  assert.equal(limitOf('2.7'), 2.7);
  assert.equal(limitOf('6'), 6);
  assert.equal(limitOf(undefined), undefined);
  assert.equal(limitOf('many'), undefined);
});

// Guards against a limit that ends too early, because an older response without it arrives late.
test('a limit ends with a response to a request that was sent after it was stated', () => {
  const statements = new TargetStatements(Logger.create('silent'));
  const statement = statements.of('i', 1);
  statements.record('i', 1, {limitPerSecond: 2}, 0, 100);
  assert.equal(statement.limitPerSecond, 2);
  statements.record('i', 1, {}, 90, 120);
  assert.equal(statement.limitPerSecond, 2);
  statements.record('i', 1, {limitPerSecond: 3}, 100, 130);
  assert.equal(statement.limitPerSecond, 3);
  statements.record('i', 1, {}, 140, 150);
  assert.equal(statement.limitPerSecond, undefined);
});

// Guards against limiting a target for what its previous process stated.
test('another incarnation of a target starts without statements', () => {
  const statements = new TargetStatements(Logger.create('silent'));
  const first = statements.of('i', 1);
  statements.record('i', 1, {limitPerSecond: 2}, 0, 100);
  assert.equal(first.limitPerSecond, 2);
  const second = statements.of('i', 2);
  statements.record('i', 1, {limitPerSecond: 3}, 100, 200);
  assert.equal(second.limitPerSecond, undefined);
});
