import {Command, Option} from 'clipanion';
import {exampleNames, readExample} from '../demo/example.js';
import {runDemo} from '../demo/run-demo.js';
import {SystemClock} from '../process/clock.js';
import {exitCodes} from './shared.js';

/** Runs an example deployment in one process, with stand-in targets and a mixed load. */
export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description: 'run an example deployment with a mixed load in one process',
    details:
      'Exits with 1 if a request was lost or a keyed request was executed more than once.',
    examples: [
      ['Himalchuli, about ten seconds', '$0 demo'],
      ['Nattro, shorter', '$0 demo nattro --seconds 2'],
    ],
  });

  example = Option.String({required: false});
  seconds = Option.String('--seconds', '8', {
    description:
      'duration of the load, in seconds; the last responses can arrive after it',
  });
  rate = Option.String('--rate', '50', {description: 'requests per second'});
  resends = Option.String('--resend-share', '0.3', {
    description: 'fraction of keyed requests to retry with the same key',
  });
  resendTo = Option.String('--resend-to', 'other', {
    description: 'host that receives the retries: same or other',
  });
  seed = Option.String('--seed', '1', {description: 'random seed of the load'});

  async execute(): Promise<number> {
    const name = exampleNames.find(
      known => known === (this.example ?? exampleNames[0]),
    );
    const numbers = [this.seconds, this.rate, this.resends, this.seed].map(
      Number,
    );
    const [seconds, requestsPerSecond, resendShare, seed] = numbers;
    const {resendTo} = this;
    if (
      !name ||
      !(seconds > 0) ||
      !numbers.every(n => n >= 0) ||
      (resendTo !== 'same' && resendTo !== 'other')
    ) {
      this.context.stderr.write(
        `error: expected one of ${exampleNames.join(', ')}, numbers for the options, and same or other\n`,
      );
      return exitCodes.usage;
    }
    const {lost, duplicate} = await runDemo({
      example: await readExample(name),
      seconds,
      requestsPerSecond,
      resendShare,
      resendTo,
      seed,
      clock: new SystemClock(),
      print: line => this.context.stdout.write(`${line}\n`),
    });
    return lost + duplicate > 0 ? exitCodes.failed : exitCodes.ok;
  }
}
