import {
  type LostBounds,
  type SeenRequest,
  type Span,
  type WorkKind,
  findLost,
  isDisrupted,
} from './lost-rule.js';

/** A span whose end is set when it is over. */
export interface OpenSpan {
  readonly fromMs: number;
  toMs: number;
}

/** A request as its caller saw it. */
export interface CallerRequest {
  readonly id: string;
  readonly route: string;
  /** Host to which its connection leads. */
  readonly host: string;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly isConnected: boolean;
  readonly hasBegun: boolean;
  readonly isAnswered: boolean;
  readonly isOnKeptConnection: boolean;
  /** The caller's deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether a disruption of the store may excuse its loss. */
  readonly isExcusedByStore: boolean;
  /** What else its caller saw, for reports. */
  readonly details: string;
}

/** A request with all that is known about it at the end of a play. */
export type ObservedRequest = CallerRequest & SeenRequest;

/** A request that counts as lost. */
export interface LostRequest {
  readonly req: ObservedRequest;
  /** Planned work beside which it was cut; `undefined` if its connection was kept and its host in touch. */
  readonly kind: WorkKind | undefined;
  /** Time from the last SIGTERM of its host to its sending, in milliseconds. */
  readonly sinceSigtermMs: number | undefined;
}

/** A configuration, with the timeouts of its routes in milliseconds. */
interface SeenConfiguration extends OpenSpan {
  readonly timeouts: ReadonlyMap<string, number>;
}

/** Time by which an unstable store stretches the time in which a configuration applies, in milliseconds. */
const storeStretchMs = 5000;

class HostEvents {
  readonly sigtermMs: number[] = [];
  readonly sighupMs: number[] = [];
  readonly unplanned: OpenSpan[] = [];
  readonly interruptions: Span[] = [];
}

class TargetWork {
  readonly targets: string[] = [];
  readonly runs: OpenSpan[] = [];
  isBrokenOff = false;
}

/** What callers, targets and the play itself see of hosts, in milliseconds since the start of the play. */
export class Observations {
  private readonly requests: CallerRequest[] = [];
  private readonly hosts = new Map<string, HostEvents>();
  private readonly work = new Map<string, TargetWork>();
  private readonly targetDisruptions = new Map<string, OpenSpan[]>();
  private readonly configurations: SeenConfiguration[] = [];
  private readonly storeDisruptions: OpenSpan[] = [];

  /** @param bounds - Bounds of the deployment. */
  constructor(private readonly bounds: LostBounds) {}

  /** Records a request whose response or connection has ended. */
  addRequest(req: CallerRequest): void {
    this.requests.push(req);
  }

  /** Records a SIGTERM. */
  addSigterm(host: string, atMs: number): void {
    const events = this.eventsOf(host);
    events.sigtermMs.push(atMs);
    events.interruptions.push({fromMs: atMs, toMs: atMs});
  }

  /** Records a SIGHUP. */
  addSighup(host: string, atMs: number): void {
    this.eventsOf(host).sighupMs.push(atMs);
  }

  /** Records the start of a process after a SIGTERM or an unplanned end. */
  addStart(host: string, atMs: number): void {
    this.eventsOf(host).interruptions.push({fromMs: atMs, toMs: atMs});
  }

  /** Records the start of an unplanned disruption of a host; the play sets its end. */
  addHostDisruption(host: string, fromMs: number): OpenSpan {
    const span = {fromMs, toMs: Infinity};
    const {unplanned, interruptions} = this.eventsOf(host);
    unplanned.push(span);
    interruptions.push(span);
    return span;
  }

  /** Records the start of a disruption of a target; the play sets its end. */
  addTargetDisruption(target: string, fromMs: number): OpenSpan {
    const span = {fromMs, toMs: Infinity};
    const spans = this.targetDisruptions.get(target) ?? [];
    this.targetDisruptions.set(target, [...spans, span]);
    return span;
  }

  /** Records the start of a disruption of the store; the play sets its end. */
  addStoreDisruption(fromMs: number): OpenSpan {
    const span = {fromMs, toMs: Infinity};
    this.storeDisruptions.push(span);
    return span;
  }

  /** Records that a configuration with these timeouts was sent; the play sets when it was acknowledged. */
  addConfiguration(
    fromMs: number,
    timeouts: ReadonlyMap<string, number>,
  ): OpenSpan {
    const configuration = {fromMs, toMs: Infinity, timeouts};
    this.configurations.push(configuration);
    return configuration;
  }

  /** Records that a request reached a target. */
  addArrival(id: string, target: string): void {
    this.workOn(id).targets.push(target);
  }

  /** Records that a target began to work on a request; the play sets the end. */
  addRun(id: string, fromMs: number): OpenSpan {
    const span = {fromMs, toMs: Infinity};
    this.workOn(id).runs.push(span);
    return span;
  }

  /** Records that a target broke off a request. */
  addBreak(id: string): void {
    this.workOn(id).isBrokenOff = true;
  }

  /** Finds the requests that count as lost. */
  findLost(): LostRequest[] {
    const byHost = new Map<string, ObservedRequest[]>();
    for (const req of this.requests) {
      const requests = byHost.get(req.host) ?? [];
      byHost.set(req.host, requests);
      requests.push(this.observe(req));
    }
    return [...byHost].flatMap(([host, requests]) => {
      const {sigtermMs, sighupMs} = this.eventsOf(host);
      const {configurations} = this;
      const work = {sigtermMs, sighupMs, configurations};
      const lost = findLost(requests, work, this.bounds);
      const kept = lost.onKeptConnections.map(req => ({req, kind: undefined}));
      return [...lost.besideWork, ...kept].map(({req, kind}) => {
        const lastMs = sigtermMs.filter(atMs => atMs <= req.sentMs).at(-1);
        const sinceSigtermMs = lastMs && req.sentMs - lastMs;
        return {req, kind, sinceSigtermMs};
      });
    });
  }

  /** Number of SIGTERM signals. */
  countSigterms(): number {
    const counts = [...this.hosts.values()].map(host => host.sigtermMs.length);
    return counts.reduce((sum, count) => sum + count, 0);
  }

  private observe(req: CallerRequest): ObservedRequest {
    const {targets, runs, isBrokenOff} = this.work.get(req.id) ?? noWork;
    const {unplanned, interruptions} = this.eventsOf(req.host);
    const store = req.isExcusedByStore ? this.storeDisruptions : [];
    return {
      ...req,
      isPassedOn: targets.length > 0,
      isBrokenOff,
      runs,
      timeoutMs: this.timeoutOf(req),
      unplanned: [
        ...unplanned,
        ...targets.flatMap(name => this.targetDisruptions.get(name) ?? []),
        ...store,
      ],
      interruptions: [...interruptions, ...store],
    };
  }

  /** The shortest time that a request has by its caller or by a configuration that may be in force. */
  private timeoutOf(req: CallerRequest): number {
    const {configurations, storeDisruptions, bounds} = this;
    const timeouts = configurations.flatMap(({fromMs, timeouts}, i) => {
      const next = configurations[i + 1];
      let untilMs = Infinity;
      if (next) {
        untilMs = next.toMs + bounds.configApplyMs;
        const change = {sentMs: next.fromMs, endedMs: untilMs};
        if (isDisrupted(change, storeDisruptions, bounds.contactMs)) {
          untilMs += storeStretchMs;
        }
      }
      const isInForce = fromMs <= req.endedMs && untilMs >= req.sentMs;
      return isInForce ? [timeouts.get(req.route) ?? Infinity] : [];
    });
    return Math.min(req.deadlineMs, ...timeouts);
  }

  private eventsOf(host: string): HostEvents {
    const events = this.hosts.get(host) ?? new HostEvents();
    this.hosts.set(host, events);
    return events;
  }

  private workOn(id: string): TargetWork {
    const work = this.work.get(id) ?? new TargetWork();
    this.work.set(id, work);
    return work;
  }
}

const noWork = new TargetWork();
