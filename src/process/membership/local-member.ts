import type {
  MemberUpdate,
  PeerIdentity,
  Probe,
  StreamOffset,
} from './messages.js';
import {bounds} from './timing.js';

/** State that this host announces about itself. */
export class LocalMember {
  private current: MemberUpdate;
  /** Stream offsets to announce in probes. */
  offsets: readonly StreamOffset[] = [];

  /**
   * @param identity - Identity of this host.
   * @param incarnation - First incarnation of this run.
   */
  constructor(identity: PeerIdentity, incarnation: number) {
    this.current = {
      ...identity,
      incarnation,
      state: 'alive',
      version: 1,
      configOffset: 0,
      summary: new Uint8Array(0),
    };
  }

  /** This host as it is announced to others. */
  get update(): MemberUpdate {
    return this.current;
  }

  /**
   * Replaces fields that do not raise the version.
   *
   * @param fields - New values; absent fields stay.
   */
  set(
    fields: Partial<Pick<MemberUpdate, 'address' | 'incarnation' | 'state'>>,
  ): void {
    this.current = {...this.current, ...fields};
  }

  /**
   * Replaces the published details, and raises the version if they changed.
   *
   * @param details - Configuration offset, and a summary that is truncated to 32 bytes.
   */
  publish(details: {configOffset?: number; summary?: Uint8Array}): void {
    const {version} = this.current;
    const {configOffset = this.current.configOffset} = details;
    const {summary = this.current.summary} = details;
    const isSame = configOffset === this.current.configOffset;
    if (isSame && summary === this.current.summary) return;
    this.current = {
      ...this.current,
      configOffset,
      summary: summary.subarray(0, bounds.summaryBytes),
      version: version + 1,
    };
  }

  /**
   * Creates a probe.
   *
   * @param sequence - Sequence number; 0 for a ping that does not request an ack.
   * @returns A probe without updates and zone ages.
   */
  probe(sequence: number): Probe {
    const {incarnation, version, configOffset, summary} = this.current;
    return {
      sequence,
      incarnation,
      version,
      configOffset,
      summary,
      updates: [],
      zones: [],
      offsets: this.offsets,
      sync: false,
      reached: '',
    };
  }
}
