import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {referencePages} from '../../src/reference/pages.js';
import {events, type LogEvent} from '../../src/process/events/catalogue.js';

for (const [file, text] of Object.entries(referencePages())) {
  test(`${file} matches the code`, async () => {
    assert.equal(await readFile(file, 'utf8'), text, 'run "npm run docs"');
  });
}

test('no event number is used twice', () => {
  const ids = Object.values(events as Record<string, LogEvent>).map(
    ({id}) => id,
  );
  assert.deepEqual(
    ids.filter((id, index) => ids.indexOf(id) !== index),
    [],
  );
});
