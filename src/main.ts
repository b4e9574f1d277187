#!/usr/bin/env node
import {Builtins, Cli} from 'clipanion';
import {DemoCommand} from './commands/demo.js';
import {EntryCommand} from './commands/entry.js';
import {StandInsCommand} from './commands/stand-ins.js';

const cli = new Cli({
  binaryLabel: 'guavaseam',
  binaryName: 'guavaseam',
  binaryVersion: '0.1.0',
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(DemoCommand);
cli.register(EntryCommand);
cli.register(StandInsCommand);
void cli.runExit(process.argv.slice(2));
