import type {PermitFrame} from '../../../src/process/groups/permit-messages.js';
import type {ManualClock} from '../../../stand-ins/manual-clock.js';
import {
  MemoryPermitTransport,
  type Gate,
  type NetworkFaults,
  type PermitNetwork,
} from '../../../stand-ins/memory-permit-transport.js';

/** In-memory network between hosts, with faults that the test controls. */
export class MemoryNetwork implements PermitNetwork {
  readonly minDelayMs = 0;
  readonly faults: NetworkFaults = {
    drop: 0,
    duplicate: 0,
    reorder: 0,
    maxDelayMs: 2,
  };
  /** Called for each frame before it is sent; a frame is lost if it returns false. */
  filter: (from: string, to: string, frame: PermitFrame) => boolean = () =>
    true;
  private readonly cuts = new Set<string>();
  private readonly ports = new Map<string, MemoryPermitTransport>();

  constructor(
    readonly clock: ManualClock,
    readonly random: () => number,
    readonly gate: Gate,
  ) {}

  /** Creates the transport of a host and replaces an earlier one of the same host. */
  transport(host: string): MemoryPermitTransport {
    const transport = new MemoryPermitTransport(this, host);
    this.ports.set(host, transport);
    return transport;
  }

  /** Drops all frames between two hosts without closing their links. */
  cut(a: string, b: string): void {
    this.cuts.add(`${a} ${b}`);
    this.cuts.add(`${b} ${a}`);
  }

  heal(): void {
    this.cuts.clear();
  }

  isCut(a: string, b: string): boolean {
    return this.cuts.has(`${a} ${b}`);
  }

  port(host: string): MemoryPermitTransport | undefined {
    return this.ports.get(host);
  }

  /** Resets all links of a crashed host, as its operating system would. */
  crash(host: string): void {
    const links = this.ports.get(host)?.links ?? [];
    this.ports.delete(host);
    for (const link of links) link.reset();
  }
}
