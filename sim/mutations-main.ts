import {mutations, runMutation} from './mutations.js';

let missed = 0;
for (const mutation of mutations) {
  const failure = await runMutation(mutation);
  if (failure === undefined) missed++;
  const {name, scenario} = mutation;
  console.log(`| ${name} | ${scenario} | ${failure ?? 'NOT DETECTED'} |`);
}
process.exitCode = missed > 0 ? 1 : 0;
