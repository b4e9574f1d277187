#!/usr/bin/env node
import {handleSignals} from './process/signals.js';

/** Commands that serve until a signal stops them. */
const servingCommands = new Set(['entry', 'gateway', 'stand-ins']);

const args = process.argv.slice(2);
if (servingCommands.has(args[0])) void handleSignals();
// Imported once the signals are handled, because loading the commands takes some time.
const {runCommand} = await import('./commands/cli.js');
await runCommand(args);
