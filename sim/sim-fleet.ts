import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {refusals, type RefusalReason} from '../src/request/refusals.js';
import type {WriteResult} from '../src/version/config-writer.js';
import {configStream} from '../src/version/config-store.js';
import {
  emptyConfig,
  foldRecord,
  getResource,
  type ConfigRecord,
  type ConfigState,
} from '../src/version/config-state.js';
import type {ResourceKind} from '../src/version/resources/kinds.js';
import {LogStore, type LogFaults} from '../stand-ins/log-store.js';
import {ManualClock} from '../stand-ins/manual-clock.js';
import {createRequest, SimResponse} from './sim-call.js';
import {Connectivity} from './connectivity.js';
import {InvariantChecker} from './invariant-checker.js';
import {keyDigest, SimHost, type SimHooks} from './sim-host.js';
import {SimNetwork} from './sim-network.js';
import {SimTargets} from './sim-targets.js';

/** One send of a caller. */
export interface Call {
  readonly send: string;
  readonly operation: string;
  readonly host: string;
  readonly tier: number;
  readonly service: string;
  readonly idempotent: boolean;
  readonly keyed: boolean;
  readonly startMs: number;
  /** Absent while the call is under way. */
  result?: CallResult;
  leave(): void;
}

/** What a caller saw. */
export type CallResult =
  | {kind: 'answered'; body: string}
  | {kind: 'refused'; reason: RefusalReason; execution: string}
  /** The host ended before its answer. */
  | {kind: 'broken'}
  | {kind: 'left'};

/** Options of one send. */
export interface SendOptions {
  readonly service: string;
  readonly tier: number;
  /** `POST` runs once, `GET` is idempotent; ignored for model services. */
  readonly method?: 'GET' | 'POST';
  readonly key?: string;
  readonly timeoutMs?: number;
}

/** Hosts with the real code on one clock, one log and one network, all in this process. */
export class SimFleet {
  readonly clock = new ManualClock();
  readonly random: () => number;
  readonly network: SimNetwork;
  readonly targets: SimTargets;
  readonly log = new LogStore();
  readonly hosts = new Map<string, SimHost>();
  readonly calls: Call[] = [];
  readonly open = new Set<Call>();
  readonly trace: string[] = [];
  readonly connectivity: Connectivity;
  readonly checker: InvariantChecker;
  /** Configuration by the log, with the time at which each record was accepted. */
  reference: ConfigState = emptyConfig;
  readonly acceptedMs: number[] = [];
  private readonly logFaults = new Map<string, LogFaults>();
  private readonly serviceTypes = new Map<string, 'model' | 'plain'>();
  private sequence = 0;

  constructor(
    readonly seed: number,
    private readonly hooks: SimHooks = {},
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    this.network = new SimNetwork(this.clock, this.random, (id, fn) =>
      this.hosts.get(id)?.gate(fn),
    );
    this.targets = new SimTargets({
      clock: this.clock,
      random: this.random,
      isCut: (host, zone) =>
        this.network.isZoneCut(this.hosts.get(host)?.self.zone ?? '', zone),
      onStart: run => this.checker.onStart(run),
    });
    this.connectivity = new Connectivity(this.network, zone =>
      Boolean(this.faultsOf(zone).down),
    );
    this.checker = new InvariantChecker(this);
  }

  /** Notes an action for the trace of a violation. */
  note(text: string): void {
    this.trace.push(`${this.clock.nowMs()} ms ${text}`);
  }

  /** Faults of the log as the hosts of a zone see it. */
  faultsOf(zone: string): LogFaults {
    let faults = this.logFaults.get(zone);
    if (!faults) {
      faults = {down: false, slowMs: 2, loseAnswers: 0, appendsPerSecond: 0};
      this.logFaults.set(zone, faults);
    }
    return faults;
  }

  get zones(): string[] {
    return [...this.logFaults.keys()];
  }

  /** Writes a record into the log directly, for the start state. */
  declare(kind: ResourceKind, name: string, spec: unknown): void {
    this.log.append(
      configStream,
      {...this.record(kind, name, spec), writeId: `declare-${kind}-${name}`},
      this.clock.nowMs(),
    );
  }

  declareZone(zone: string): void {
    this.faultsOf(zone);
    this.declare('zone', zone, {region: 'r', state: 'in'});
  }

  declareService(
    name: string,
    type: 'model' | 'plain',
    queueLimits?: number[],
  ): void {
    this.serviceTypes.set(name, type);
    this.declare('service', name, {
      type,
      version: 'v1',
      defaultTimeoutMs: 8000,
      firstTokenTargetMs: 1000,
      tokenTargetMs: 100,
      ...(queueLimits && {queueLimits}),
    });
  }

  declareTarget(name: string, service: string, zone: string, max = 4): void {
    const type = this.serviceTypes.get(service);
    this.targets.add(name, zone, type === 'model');
    this.declare('target', name, targetSpec(name, service, zone, max));
  }

  /** Declares an organisation with one key for each tier. */
  declareOrganisation(name: string): void {
    const keys = [0, 1, 2, 3].map(tier => {
      return {id: `t${tier}`, tier, sha256: keyDigest(`${name}-t${tier}`)};
    });
    this.declare('organisation', name, {keys, weight: 1});
  }

  /** Starts a host, or starts it afresh. */
  start(id: string, zone: string): SimHost {
    const self = {id, zone, region: 'r', address: `${id}:1`};
    const seeds = [...this.hosts.values()]
      .filter(host => host.state !== 'dead' && host.self.id !== id)
      .slice(0, 4)
      .map(host => host.self.address);
    const host = new SimHost(self, {
      clock: this.clock,
      random: this.random,
      network: this.network,
      targets: this.targets,
      store: this.log,
      logFaults: this.faultsOf(zone),
      seeds,
      hooks: this.hooks,
    });
    this.hosts.set(id, host);
    return host;
  }

  host(id: string): SimHost {
    const host = this.hosts.get(id);
    if (!host) throw new RangeError(`host "${id}" is not declared`);
    return host;
  }

  kill(id: string): void {
    this.checker.forgetWhole(id);
    this.host(id).kill();
    this.breakCalls(id);
  }

  /** Stops a host after its requests in flight ended, at most after a time in milliseconds. */
  stop(id: string, drainMs = 10_000): void {
    const host = this.host(id);
    if (host.stopping || host.state !== 'running') return;
    const endMs = this.clock.nowMs() + drainMs;
    host.handOver();
    const inFlight = [...this.open].filter(call => call.host === id);
    this.checker.expectWhole(inFlight, endMs);
    if (this.hooks.gracefulStop === false) {
      host.kill();
      return this.breakCalls(id);
    }
    const check = () => {
      if (host.state === 'dead') return;
      const busy = [...this.open].some(call => call.host === id);
      if (busy && this.clock.nowMs() < endMs) {
        this.clock.after(50, check);
        return;
      }
      host.gate(() => {
        host.finish();
        this.breakCalls(id);
      });
    };
    check();
  }

  private breakCalls(id: string): void {
    for (const call of [...this.open]) {
      if (call.host === id) this.end(call, {kind: 'broken'});
    }
  }

  /** Writes a resource through a host's own writer. */
  write(
    id: string,
    kind: ResourceKind,
    name: string,
    spec: unknown,
    baseGeneration = -1,
  ): Promise<WriteResult> {
    const record = this.record(kind, name, spec, baseGeneration);
    return new Promise(resolve =>
      this.host(id).gate(
        () => void this.host(id).writer.write(record).then(resolve),
      ),
    );
  }

  setZone(id: string, zone: string, state: 'in' | 'out') {
    return this.write(id, 'zone', zone, {region: 'r', state});
  }

  setTarget(id: string, name: string, state: 'active' | 'leaving') {
    const {spec} = getResource(this.reference, 'target', name) ?? {};
    return this.write(id, 'target', name, {...spec, state});
  }

  private record(
    kind: ResourceKind,
    name: string,
    spec: unknown,
    baseGeneration = -1,
  ): Omit<ConfigRecord, 'writeId'> {
    const time = '2026-01-01T00:00:00Z';
    const base = {actor: 'operator', time, op: 'put', kind, name} as const;
    return {...base, baseGeneration, spec: spec as ConfigRecord['spec']};
  }

  /** Sends a request of a caller to a host. */
  send(id: string, options: SendOptions): Call {
    const {service, tier, key, timeoutMs = 8000, method = 'POST'} = options;
    const send = `s${++this.sequence}`;
    const operation = key === undefined ? send : `key-${key}`;
    const model = this.serviceTypes.get(service) === 'model';
    const req = createRequest({
      method: model ? 'POST' : method,
      url: model ? '/v1/completions' : `/services/${service}/do`,
      headers: {
        authorization: `Bearer o-t${tier}`,
        'x-operation': operation,
        'x-send': send,
        'x-tier': String(tier),
        'request-timeout-ms': String(timeoutMs),
        ...(key !== undefined && {'idempotency-key': key}),
      },
      body: model
        ? JSON.stringify({model: service, prompt: operation, max_tokens: 1})
        : operation,
    });
    const res = new SimResponse(req);
    const call: Call = {
      send,
      operation,
      host: id,
      tier,
      service,
      idempotent: model || method === 'GET',
      keyed: key !== undefined,
      startMs: this.clock.nowMs(),
      leave: () => {
        this.end(call, {kind: 'left'});
        this.host(id).gate(() => res.destroy());
      },
    };
    this.calls.push(call);
    this.open.add(call);
    res.once('close', () => this.end(call, readResult(res)));
    const host = this.hosts.get(id);
    if (!host || host.state === 'dead') this.end(call, {kind: 'broken'});
    else {
      host.gate(() => {
        host.handler.handle(req, res.server).catch((err: unknown) => {
          this.checker.violated('crash', `${send}: ${String(err)}`);
        });
      });
    }
    return call;
  }

  private end(call: Call, result: CallResult): void {
    if (call.result) return;
    call.result = result;
    this.open.delete(call);
    this.checker.onEnd(call, result);
  }

  /** Moves the clock and checks every invariant after each step. */
  async run(ms: number, each: () => void = () => {}, stepMs = 5) {
    const endMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < endMs) {
      this.clock.advance(Math.min(stepMs, endMs - this.clock.nowMs()));
      await new Promise(setImmediate);
      this.foldReference();
      this.connectivity.observe(this.clock.nowMs(), this.zones);
      this.checker.check();
      each();
    }
  }

  private foldReference(): void {
    const page = this.log.read(configStream, this.reference.offset, 500);
    for (const {offset, data} of page.records) {
      const {state} = foldRecord(this.reference, data as ConfigRecord, offset);
      this.checker.onConfig(this.reference, state);
      this.reference = state;
      this.acceptedMs[offset] = this.clock.nowMs();
    }
  }
}

function targetSpec(name: string, service: string, zone: string, max: number) {
  return {
    service,
    zone,
    address: `http://${name}`,
    version: 'v1',
    maxConcurrency: max,
    coldConcurrency: 1,
    state: 'active',
  };
}

function readResult(res: SimResponse): CallResult {
  if (!res.writableFinished) return {kind: 'broken'};
  if (res.statusCode < 400) return {kind: 'answered', body: res.body};
  const {reason, execution} = JSON.parse(res.body) as {
    reason: RefusalReason;
    execution: string;
  };
  if (!(reason in refusals)) throw new RangeError(`unknown reason ${reason}`);
  return {kind: 'refused', reason, execution};
}
