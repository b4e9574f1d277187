#!/usr/bin/env node
import {Builtins, Cli} from 'clipanion';
import {ApplyCommand} from './commands/apply.js';
import {CheckCommand} from './commands/check.js';
import {DiffCommand} from './commands/diff.js';
import {DemoCommand} from './commands/demo.js';
import {EntryCommand} from './commands/entry.js';
import {GatewayCommand} from './commands/gateway.js';
import {GetCommand} from './commands/get.js';
import {RolloutCommand} from './commands/rollout.js';
import {ScenarioCommand} from './commands/scenario.js';
import {StandInsCommand} from './commands/stand-ins.js';
import {StatusCommand} from './commands/status.js';
import {WatchCommand} from './commands/watch.js';

const cli = new Cli({
  binaryLabel: 'guavaseam',
  binaryName: 'guavaseam',
  binaryVersion: '0.1.0',
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(DemoCommand);
cli.register(EntryCommand);
cli.register(GatewayCommand);
cli.register(ScenarioCommand);
cli.register(StandInsCommand);
cli.register(CheckCommand);
cli.register(DiffCommand);
cli.register(ApplyCommand);
cli.register(GetCommand);
cli.register(WatchCommand);
cli.register(StatusCommand);
cli.register(RolloutCommand);
void cli.runExit(process.argv.slice(2));
