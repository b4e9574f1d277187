import assert from 'node:assert/strict';
import {test} from 'node:test';
import {mutations, runMutation} from '../../sim/mutations.js';

// Guards against scenarios and checks that no longer notice that a mechanism is missing.
for (const mutation of mutations) {
  test(`it is noticed when ${mutation.name}`, async () => {
    assert.ok(await runMutation(mutation));
  });
}
