// Loads target/program.js with V8's code cache, which V8 rejects if it was created by another Node.js
// version or with other options. bundle.js copies this file to target/guavaseam.cjs. With --write-cache
// it writes the code that was compiled during this run to the cache.
'use strict';
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

// Node.js calls the handlers of a signal once the program is loaded, and by then those of the program
// are there as well. Without these the signal would end the process.
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT']) {
  process.on(signal, () => {});
}

const file = join(__dirname, 'program.js');
const cacheFile = join(__dirname, 'program.cache');
const parameters = 'exports, require, module, __filename, __dirname';
const source = `(function (${parameters}) {${readFileSync(file, 'utf8')}\n})`;
const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(source, {filename: file, cachedData});
if (process.argv[2] === '--write-cache') {
  process.once('exit', () => {
    writeFileSync(cacheFile, script.createCachedData());
  });
}
script.runInThisContext()(exports, require, module, file, __dirname);
