import type {Stream} from 'most';
import type {TargetStatusClient} from '../../connection/target/target-status-client.js';
import type {ConfigState} from '../../version/config-state.js';
import {getResource} from '../../version/config-state.js';
import {every, type Cancel, type Clock} from '../clock.js';
import {Subject} from '../subject.js';
import type {GroupMessage} from './group-messages.js';
import {listGroups} from './group-names.js';

/** Interval of the load reports of one target, in milliseconds. */
const pollMs = 1000;

/** Targets are read at different times within the interval, in this number of slots. */
const slotsPerInterval = 10;

/** What the poller needs. */
export interface StatusPollerParts {
  readonly clock: Clock;
  readonly client: TargetStatusClient;
  readonly config: () => ConfigState;
  /** Names of the groups that this host owns. */
  readonly owned: () => Iterable<string>;
  readonly deliver: (group: string, message: GroupMessage) => void;
}

/** A restart of a target. */
export interface TargetRestart {
  readonly target: string;
  /** Epoch of the new start, as the target reports it. */
  readonly epoch: number;
}

interface Reader {
  readonly address: string;
  readonly abort: AbortController;
  loading: boolean;
  streaming: boolean;
  /** Epoch of the last load report. */
  epoch?: number;
}

/** Reads load reports and cache events of the model engines whose groups this host owns. */
export class StatusPoller {
  private readonly readers = new Map<string, Reader>();
  private readonly restarts = new Subject<TargetRestart>();
  private slot = 0;
  private cancel: Cancel = () => {};

  /**
   * @param parts - Parts of the process.
   */
  constructor(private readonly parts: StatusPollerParts) {}

  /** Restarts of targets while this host owned their group. */
  get targetRestarts(): Stream<TargetRestart> {
    return this.restarts.stream;
  }

  /** Starts to read. */
  start(): void {
    this.cancel = every(this.parts.clock, pollMs / slotsPerInterval, () =>
      this.poll(),
    );
  }

  /** Ends all reads. */
  stop(): void {
    this.cancel();
    for (const {abort} of this.readers.values()) abort.abort();
    this.readers.clear();
  }

  /** Number of targets that are read. */
  get size(): number {
    return this.readers.size;
  }

  private poll(): void {
    const targets = this.selectTargets();
    for (const [name, reader] of this.readers) {
      if (targets.get(name)?.address === reader.address) continue;
      reader.abort.abort();
      this.readers.delete(name);
    }
    let index = 0;
    for (const [name, {group, address}] of targets) {
      if (index++ % slotsPerInterval !== this.slot) continue;
      let reader = this.readers.get(name);
      if (!reader) {
        const abort = new AbortController();
        reader = {address, abort, loading: false, streaming: false};
        this.readers.set(name, reader);
      }
      if (!reader.loading) void this.load(name, group, reader);
      if (!reader.streaming) void this.stream(name, group, reader);
    }
    this.slot = (this.slot + 1) % slotsPerInterval;
  }

  private selectTargets(): Map<string, {group: string; address: string}> {
    const state = this.parts.config();
    const groups = listGroups(state);
    const targets = new Map<string, {group: string; address: string}>();
    for (const group of this.parts.owned()) {
      for (const name of groups.get(group) ?? []) {
        const target = getResource(state, 'target', name)?.spec;
        if (!target) continue;
        // Plain services offer neither reports nor cache events.
        const service = getResource(state, 'service', target.service)?.spec;
        if (service?.type !== 'model') continue;
        targets.set(name, {group, address: target.address});
      }
    }
    return targets;
  }

  private async load(target: string, group: string, reader: Reader) {
    reader.loading = true;
    const {client, deliver} = this.parts;
    const report = await client.load(reader.address, reader.abort.signal);
    reader.loading = false;
    if (report && !reader.abort.signal.aborted) {
      deliver(group, {kind: 'loadReport', target, report});
      const {epoch} = report;
      const restarted = reader.epoch !== undefined && reader.epoch !== epoch;
      reader.epoch = epoch;
      if (restarted) this.restarts.next({target, epoch});
    }
  }

  private async stream(target: string, group: string, reader: Reader) {
    reader.streaming = true;
    const {client, deliver} = this.parts;
    const {signal} = reader.abort;
    await client.cacheEvents(
      reader.address,
      event => {
        if (!signal.aborted)
          deliver(group, {kind: 'cacheEvent', target, event});
      },
      signal,
    );
    reader.streaming = false;
  }
}
