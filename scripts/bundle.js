// Bundles the gateway program into target/guavaseam.mjs, without the tests and the command line.
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/guavaseam.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  // CommonJS packages in the bundle call require() for Node's own modules.
  banner: {
    js: "import {createRequire} from 'node:module';const require=createRequire(import.meta.url);",
  },
});
