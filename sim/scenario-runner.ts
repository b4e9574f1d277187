import {InvariantViolation} from './invariant-checker.js';
import {
  parseScenario,
  readTime,
  ScenarioError,
  type Statement,
  type Word,
} from './scenario-parser.js';
import {SimFleet, type Call} from './sim-fleet.js';
import type {SimHooks} from './sim-host.js';

const stepMs = 5;

/** Runs the statements of one scenario on a fleet; every invariant is checked after each step. */
export class ScenarioRunner {
  private readonly fleet: SimFleet;
  private readonly calls = new Map<string, Call>();
  private readonly writes = new Map<string, string>();
  private statement!: Statement;
  private next = 0;

  constructor(hooks: SimHooks = {}, seed = 1) {
    this.fleet = new SimFleet(seed, hooks);
  }

  /**
   * Runs a scenario.
   *
   * @throws {@link ScenarioError} at the first statement that does not hold.
   */
  async run(text: string): Promise<void> {
    for (const statement of parseScenario(text)) {
      this.statement = statement;
      this.next = 1;
      try {
        await this.perform(statement.words[0].text);
      } catch (err) {
        if (err instanceof ScenarioError) throw err;
        if (!(err instanceof InvariantViolation || err instanceof RangeError)) {
          throw err;
        }
        throw this.error(err.message, statement.words[0]);
      }
      const rest = statement.words.at(this.next);
      if (rest) throw this.error(`unexpected "${rest.text}"`, rest);
    }
  }

  private error(message: string, word?: Word): ScenarioError {
    const {line, words} = this.statement;
    const at = word ?? words[this.next - 1] ?? words[words.length - 1];
    return new ScenarioError(line, at.column, message);
  }

  private word(what: string): Word {
    const word = this.statement.words.at(this.next);
    if (!word) throw this.error(`${what} is missing`, this.statement.words[0]);
    this.next++;
    return word;
  }

  private name(what: string): string {
    return this.word(what).text;
  }

  private choice<T extends string>(...options: readonly T[]): T {
    const {text} = this.word(options.join(' or '));
    const found = options.find(option => option === text);
    if (!found) throw this.error(`"${text}" is not ${options.join(' or ')}`);
    return found;
  }

  private time(): number {
    return readTime(this.statement, this.word('time'));
  }

  private option(name: string): string | undefined {
    if (this.statement.words.at(this.next)?.text !== name) return undefined;
    this.next++;
    return this.name(name);
  }

  private flag(name: string): boolean {
    const found = this.statement.words.at(this.next)?.text === name;
    if (found) this.next++;
    return found;
  }

  private async perform(verb: string): Promise<void> {
    const {fleet} = this;
    switch (verb) {
      case 'declare':
        return this.declare();
      case 'send':
        return this.send();
      case 'kill': {
        const name = this.name('host or target');
        if (fleet.targets.targets.has(name)) fleet.targets.kill(name);
        else fleet.kill(name);
        return;
      }
      case 'pause':
        return fleet.host(this.name('host')).pause();
      case 'resume':
        return fleet.host(this.name('host')).resume();
      case 'stop':
        return fleet.stop(this.name('host'));
      case 'start': {
        const name = this.name('host or target');
        if (fleet.targets.targets.has(name)) fleet.targets.start(name);
        else fleet.start(name, fleet.host(name).self.zone);
        return;
      }
      case 'cut':
        return fleet.network.cut(this.name('zone'), this.name('zone'));
      case 'heal':
        return fleet.network.heal();
      case 'log':
        return this.log();
      case 'zone':
        return this.zone();
      case 'leave':
        return this.leave();
      case 'advance':
        return fleet.run(this.time(), () => {}, stepMs);
      default:
        return this.expect();
    }
  }

  private declare(): void {
    const {fleet} = this;
    const kind = this.choice(
      'zone',
      'service',
      'target',
      'organisation',
      'host',
    );
    const name = this.name('name');
    if (kind === 'zone') fleet.declareZone(name);
    else if (kind === 'organisation') fleet.declareOrganisation(name);
    else if (kind === 'service') {
      fleet.declareService(name, this.choice('model', 'plain'));
    } else if (kind === 'host') fleet.start(name, this.name('zone'));
    else {
      const [service, zone] = [this.name('service'), this.name('zone')];
      fleet.declareTarget(name, service, zone, Number(this.option('max') ?? 4));
    }
  }

  /** `send NAME HOST SERVICE [tier N] [key K] [get] [timeout T] [losing-answer]` */
  private send(): void {
    const [name, host] = [this.name('request'), this.name('host')];
    const service = this.name('service');
    const tier = Number(this.option('tier') ?? 0);
    const key = this.option('key');
    const method = this.flag('get') ? 'GET' : 'POST';
    const timeoutMs = this.flag('timeout') ? this.time() : undefined;
    this.calls.set(
      name,
      this.fleet.send(host, {service, tier, key, method, timeoutMs}),
    );
  }

  /** `log down|up [ZONE]`, `log lossy N` */
  private log(): void {
    const {fleet} = this;
    const state = this.choice('down', 'up', 'lossy');
    if (state === 'lossy') {
      fleet.log.faults.loseAnswers += Number(this.name('number of answers'));
      return;
    }
    const named = this.statement.words.at(this.next);
    if (named) this.next++;
    for (const zone of named ? [named.text] : fleet.zones) {
      fleet.faultsOf(zone).down = state === 'down';
    }
  }

  /** `zone ZONE out|in at HOST [as WRITE] [base N]` */
  private zone(): void {
    const name = this.name('zone');
    const state = this.choice('out', 'in');
    this.choice('at');
    const host = this.name('host');
    const write = this.option('as');
    const base = Number(this.option('base') ?? -1);
    const spec = {region: 'r', state};
    void this.fleet.write(host, 'zone', name, spec, base).then(result => {
      if (write !== undefined) this.writes.set(write, result.kind);
    });
  }

  /** `leave TARGET at HOST` */
  private leave(): void {
    const target = this.name('target');
    this.choice('at');
    void this.fleet.setTarget(this.name('host'), target, 'leaving');
  }

  /**
   * `expect REQUEST answered|broken|refused|REASON within T`, `expect runs REQUEST N within T`,
   * `expect write WRITE accepted|conflict|unavailable within T`,
   * `expect offset HOST equal HOST within T`
   */
  private async expect(): Promise<void> {
    const {fleet} = this;
    const subject = this.name('subject');
    let wanted: string;
    let seen: () => string;
    if (subject === 'runs') {
      const {operation} = this.call();
      wanted = this.name('number');
      seen = () => {
        const {runs} = fleet.targets;
        return String(runs.filter(run => run.operation === operation).length);
      };
    } else if (subject === 'write') {
      const write = this.name('write');
      wanted = this.name('outcome');
      seen = () => this.writes.get(write) ?? 'pending';
    } else if (subject === 'offset') {
      const host = fleet.host(this.name('host'));
      this.choice('equal');
      const other = fleet.host(this.name('host'));
      wanted = 'equal';
      seen = () =>
        host.config.state.offset === other.config.state.offset
          ? 'equal'
          : `${host.config.state.offset}, ${other.config.state.offset}`;
    } else {
      this.next--;
      const call = this.call();
      wanted = this.name('outcome');
      seen = () => {
        const {result} = call;
        if (result?.kind !== 'refused') return result?.kind ?? 'pending';
        return [result.kind, result.execution].includes(wanted)
          ? wanted
          : result.reason;
      };
    }
    this.choice('within');
    const endMs = fleet.clock.nowMs() + this.time();
    while (seen() !== wanted && fleet.clock.nowMs() < endMs) {
      await fleet.run(stepMs, () => {}, stepMs);
    }
    if (seen() !== wanted) {
      throw this.error(
        `expected ${wanted}, saw ${seen()}`,
        this.statement.words[0],
      );
    }
  }

  private call(): Call {
    const word = this.word('request');
    const call = this.calls.get(word.text);
    if (!call) throw this.error(`request "${word.text}" was not sent`, word);
    return call;
  }
}
