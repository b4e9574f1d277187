// Writes the reference pages that are generated from catalogues in the code.
import {writeFileSync} from 'node:fs';
import {referencePages} from '../dist/src/reference/pages.js';

for (const [file, text] of Object.entries(referencePages())) {
  writeFileSync(file, text);
}
