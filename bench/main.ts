/** Loads one bench by name, so that a run pays only for what it measures. */
const benches: Record<string, () => Promise<{run(): Promise<void>}>> = {
  // One line for each bench: 'name': () => import('./name.js'),
  capacity: () => import('./capacity.js'),
  permits: () => import('./permits.js'),
  'token-relay': () => import('./token-relay.js'),
  'request-overhead': () => import('./request-overhead.js'),
  config: () => import('./config.js'),
  membership: () => import('./membership.js'),
  dispatch: () => import('./dispatch/dispatch-bench.js'),
  rollout: () => import('./rollout/main.js'),
  fleet: () => import('./fleet/fleet-bench.js'),
  soak: () => import('./soak/soak-bench.js'),
};

const [name] = process.argv.slice(2);
const load = name === undefined ? undefined : benches[name];
if (!load) {
  process.stderr.write(`usage: bench ${Object.keys(benches).join('|')}\n`);
  process.exitCode = 2;
} else {
  await (await load()).run();
}
