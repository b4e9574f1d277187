// Bundles the gateway program into target/, without the tests and the command line, and compiles it.
//
// target/guavaseam.cjs loads target/program.js with code that V8 has compiled before, so that a host that
// restarts serves sooner. The compiled code only fits the same Node.js and the same options, so it is
// made with the options of deploy/system.toml; the program runs without it too.
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
  // Without settings the program ends once it is loaded, which is what is to be compiled.
  {env: {...process.env, GUAVASEAM_NODE_FILE: ''}, stdio: 'ignore'},
);
if (status !== 2) throw new Error(`the program ended with ${status}`);
