import {Builtins, Cli} from 'clipanion';
import {ApplyCommand} from './apply.js';
import {CheckCommand} from './check.js';
import {DiffCommand} from './diff.js';
import {DemoCommand} from './demo.js';
import {EntryCommand} from './entry.js';
import {GatewayCommand} from './gateway.js';
import {GetCommand} from './get.js';
import {RolloutCommand} from './rollout.js';
import {ScenarioCommand} from './scenario.js';
import {StandInsCommand} from './stand-ins.js';
import {StatusCommand} from './status.js';
import {WatchCommand} from './watch.js';

/**
 * Runs a command.
 *
 * @param args - Arguments of the command line.
 */
export async function runCommand(args: string[]): Promise<void> {
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
  await cli.runExit(args);
}
