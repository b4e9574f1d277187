import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {ScenarioError} from '../../sim/scenario-parser.js';
import {ScenarioRunner} from '../../sim/scenario-runner.js';

// Each file states in its first line which failure it guards against.
for (const file of readdirSync('scenarios').sort()) {
  test(`scenario ${file} holds`, () =>
    new ScenarioRunner().run(readFileSync(`scenarios/${file}`, 'utf8')));
}

test('errors name line and column', async () => {
  const fails = (text: string, message: string) =>
    assert.rejects(new ScenarioRunner().run(text), err => {
      assert.ok(err instanceof ScenarioError);
      assert.equal(err.message, message);
      return true;
    });
  await fails('\n  jump high', '2:3: unknown verb "jump"');
  await fails('advance soon', '1:9: "soon" is not a time');
  await fails('heal all # x', '1:6: unexpected "all"');
  await fails('expect r answered within 1s', '1:8: request "r" was not sent');
});
