import type {Stream} from 'most';
import type {TargetStatusClient} from '../../connection/target/target-status-client.js';
import type {ConfigState} from '../../version/config-state.js';
import {getResource} from '../../version/config-state.js';
import {every, type Cancel, type Clock} from '../clock.js';
import {Subject} from '../subject.js';
import type {GroupMessage} from './group-messages.js';
import {listGroups} from './group-names.js';

/** Interval at which each target's load report is read, in milliseconds. */
const pollMs = 1000;

/** Number of slots over which the reads of the targets are spread within the interval. */
const slotsPerInterval = 10;

/** Dependencies of a {@link StatusPoller}. */
export interface StatusPollerParts {
  readonly clock: Clock;
  readonly client: TargetStatusClient;
  readonly config: () => ConfigState;
  /** Names of the groups that this host owns. */
  readonly owned: () => Iterable<string>;
  /** Receives load reports and cache events, with the group of their target. */
  readonly deliver: (group: string, message: GroupMessage) => void;
}

/** A restart of a target, detected by a change of its epoch. */
export interface TargetRestart {
  readonly target: string;
  /** Epoch that the target reports since the restart. */
  readonly epoch: number;
}

/** State of the reads of one target. */
interface Reader {
  readonly address: string;
  readonly abort: AbortController;
  loading: boolean;
  streaming: boolean;
  /** Epoch of the last load report. */
  epoch?: number;
}

/** Reads load reports and cache events of the model targets in groups that this host owns. */
export class StatusPoller {
  private readonly readers = new Map<string, Reader>();
  private readonly restarts = new Subject<TargetRestart>();
  private slot = 0;
  private cancel: Cancel = () => {};

  /**
   * @param parts - Dependencies.
   */
  constructor(private readonly parts: StatusPollerParts) {}

  /** Restarts of targets that happen while this host owns their group. */
  get targetRestarts(): Stream<TargetRestart> {
    return this.restarts.stream;
  }

  /** Starts polling. */
  start(): void {
    this.cancel = every(this.parts.clock, pollMs / slotsPerInterval, () =>
      this.poll(),
    );
  }

  /** Stops polling and aborts all reads. */
  stop(): void {
    this.cancel();
    for (const {abort} of this.readers.values()) abort.abort();
    this.readers.clear();
  }

  /** Number of targets that are being read. */
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
        // Plain services provide neither load reports nor cache events.
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
