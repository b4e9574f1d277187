// Loads target/program.js with the code that V8 has compiled before, if that fits this Node.js and its
// options; copied to target/guavaseam.cjs. With --write-cache it keeps what this run has compiled.
'use strict';
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

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
