/** A permit that an owner counts. */
export interface TrackedPermit {
  readonly host: string;
  readonly target: string;
  /** Id in the scheduler. */
  readonly permitId: string;
  /** Deadline of the request, in milliseconds of this host's clock; the permit ends by then. */
  readonly expiresMs: number;
}

/** A request that waits at an owner. */
export interface TrackedRequest {
  readonly host: string;
  readonly expiresMs: number;
}

/**
 * Names a request and its permit.
 *
 * @param host - Host that asked.
 * @param serial - Serial that the host gave the request.
 * @returns A key that is unique in the fleet.
 */
export function permitKey(host: string, serial: number): string {
  return `${host}/${serial}`;
}

/** Requests that wait at an owner and permits that it counts, by key. */
export class PermitTable {
  private readonly permits = new Map<string, TrackedPermit>();
  private readonly keys = new Map<string, string>();
  private readonly waiting = new Map<string, TrackedRequest>();
  private readonly counts = new Map<string, number>();

  /** @returns False if the request waits already or has a permit. */
  addWaiting(key: string, request: TrackedRequest): boolean {
    if (this.waiting.has(key) || this.permits.has(key)) return false;
    this.waiting.set(key, request);
    return true;
  }

  /** @returns The request that no longer waits, if it did. */
  removeWaiting(key: string): TrackedRequest | undefined {
    const request = this.waiting.get(key);
    this.waiting.delete(key);
    return request;
  }

  /** Counts a permit. */
  addPermit(key: string, permit: TrackedPermit): void {
    this.permits.set(key, permit);
    this.keys.set(permit.permitId, key);
    this.counts.set(permit.target, this.count(permit.target) + 1);
  }

  /** @returns The permit that is no longer counted, if there was one. */
  removePermit(key: string): TrackedPermit | undefined {
    const permit = this.permits.get(key);
    if (!permit) return undefined;
    this.permits.delete(key);
    this.keys.delete(permit.permitId);
    this.counts.set(permit.target, this.count(permit.target) - 1);
    return permit;
  }

  /** @returns A counted permit by key. */
  get(key: string): TrackedPermit | undefined {
    return this.permits.get(key);
  }

  /** @returns The key of a permit by its id in the scheduler. */
  keyOf(permitId: string): string | undefined {
    return this.keys.get(permitId);
  }

  /** @returns Number of permits of a target. */
  count(target: string): number {
    return this.counts.get(target) ?? 0;
  }

  /** @returns Number of permits by target, without those of some hosts. */
  countExcluding(hosts: ReadonlySet<string>): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {host, target} of this.permits.values()) {
      if (!hosts.has(host)) counts.set(target, (counts.get(target) ?? 0) + 1);
    }
    return counts;
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** @returns Keys of the waiting requests of a host. */
  waitingOf(host: string): string[] {
    return [...this.waiting]
      .filter(([, request]) => request.host === host)
      .map(([key]) => key);
  }

  /** @returns Keys of the waiting requests and permits of a host. */
  keysOf(host: string): string[] {
    const held = [...this.permits].filter(([, p]) => p.host === host);
    return [...this.waitingOf(host), ...held.map(([key]) => key)];
  }

  /** @returns Keys of a host's permits whose requests passed their deadline before a time. */
  expired(host: string, beforeMs: number): string[] {
    return [...this.permits]
      .filter(([, p]) => p.host === host && p.expiresMs < beforeMs)
      .map(([key]) => key);
  }

  /** @returns Hosts that have permits or waiting requests. */
  hosts(): Set<string> {
    const hosts = new Set<string>();
    for (const {host} of this.waiting.values()) hosts.add(host);
    for (const {host} of this.permits.values()) hosts.add(host);
    return hosts;
  }
}
