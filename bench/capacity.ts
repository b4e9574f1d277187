import {run as runConfig} from './config.js';
import {run as runMembership} from './membership.js';
import {run as runPermits} from './permits.js';
import {run as runTokenRelay} from './token-relay.js';

const parts = [
  ['relay of answers', runTokenRelay],
  ['permits', runPermits],
  ['membership', runMembership],
  ['configuration and claims', runConfig],
] as const;

/** Runs the measurements from which docs/CAPACITY.md works out its figures. */
export async function run(): Promise<void> {
  for (const [title, runPart] of parts) {
    process.stdout.write(`\n## ${title}\n\n`);
    await runPart();
  }
}
