/** Benches by name; each module exports `run`. */
const benches: Record<string, () => Promise<{run: () => Promise<void>}>> = {
  'request-overhead': () => import('./request-overhead.js'),
};

const name = process.argv[2] ?? '';
const load = benches[name];
if (load) {
  await (await load()).run();
} else {
  const names = Object.keys(benches).join(', ');
  process.stderr.write(`unknown bench "${name}"; there are: ${names}\n`);
  process.exitCode = 2;
}
