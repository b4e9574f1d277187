import type {
  MemberUpdate,
  PeerIdentity,
  Probe,
  StreamOffset,
} from './messages.js';
import {bounds} from './timing.js';

/** What a host says about itself. */
export class LocalMember {
  private current: MemberUpdate;
  /** Stream offsets that probes announce. */
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

  /** This host as others are told. */
  get update(): MemberUpdate {
    return this.current;
  }

  /**
   * Replaces some fields.
   *
   * @param fields - New values.
   */
  set(
    fields: Partial<Pick<MemberUpdate, 'address' | 'incarnation' | 'state'>>,
  ): void {
    this.current = {...this.current, ...fields};
  }

  /**
   * Replaces what this host publishes.
   *
   * @param details - Configuration offset and summary.
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
   * Starts a probe.
   *
   * @param sequence - Sequence number; 0 for a ping that wants no ack.
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
