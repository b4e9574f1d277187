import type {PermitFrame} from '../../../src/process/groups/permit-messages.js';
import type {ManualClock} from '../../../stand-ins/manual-clock.js';
import {
  MemoryPermitTransport,
  type Gate,
  type NetworkFaults,
  type PermitNetwork,
} from '../../../stand-ins/memory-permit-transport.js';

/** In-memory network between hosts. */
export class MemoryNetwork implements PermitNetwork {
  readonly minDelayMs = 0;
  readonly faults: NetworkFaults = {
    drop: 0,
    duplicate: 0,
    reorder: 0,
    maxDelayMs: 2,
  };
  /** Sees each frame before it is sent; returning false loses it. */
  filter: (from: string, to: string, frame: PermitFrame) => boolean = () =>
    true;
  private readonly cuts = new Set<string>();
  private readonly ports = new Map<string, MemoryPermitTransport>();

  constructor(
    readonly clock: ManualClock,
    readonly random: () => number,
    readonly gate: Gate,
  ) {}

  /** Creates the transport of a host; a former one of the same host is replaced. */
  transport(host: string): MemoryPermitTransport {
    const transport = new MemoryPermitTransport(this, host);
    this.ports.set(host, transport);
    return transport;
  }

  /** Loses everything between two hosts without notice. */
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

  /** Closes every link of a host that crashed, as its operating system does. */
  crash(host: string): void {
    const links = this.ports.get(host)?.links ?? [];
    this.ports.delete(host);
    for (const link of links) link.reset();
  }
}
