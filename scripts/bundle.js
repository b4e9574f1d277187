// Bundles the gateway program into target/, without the tests and the command line, and writes V8's
// code cache for it.
//
// target/guavaseam.cjs loads target/program.js with the code cache, so that a restarted host serves
// sooner. The cache is valid only for the same Node.js version and options, so it is created with the
// options of deploy/system.toml; without a valid cache the program still runs.
import {spawnSync} from 'node:child_process';
import {copyFileSync, readFileSync, rmSync} from 'node:fs';
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/program.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
});

copyFileSync('scripts/program-loader.cjs', 'target/guavaseam.cjs');
rmSync('target/program.cache', {force: true});

const deployFile = readFileSync('deploy/system.toml', 'utf8');
const options = /run = "node (.*) target\/guavaseam\.cjs"/.exec(deployFile);
const {status} = spawnSync(
  process.execPath,
  [...(options?.[1].split(' ') ?? []), 'target/guavaseam.cjs', '--write-cache'],
  // Without a settings file the program exits with code 2 after loading, and only that code is cached.
  {env: {...process.env, GUAVASEAM_NODE_FILE: ''}, stdio: 'ignore'},
);
if (status !== 2) throw new Error(`the program exited with code ${status}`);
