/** A permit that counts against a target's limit at its owner. */
export interface TrackedPermit {
  readonly host: string;
  readonly target: string;
  /** Id of the permit in the scheduler. */
  readonly permitId: string;
  /** Deadline of the request and its permit, in milliseconds of this host's clock. */
  readonly expiresMs: number;
}

/** A request that waits for a permit at an owner. */
export interface TrackedRequest {
  readonly host: string;
  readonly expiresMs: number;
}

/**
 * Formats the key of a request and its permit.
 *
 * @param host - Id of the host that requests the permit.
 * @param serial - Serial that this host assigned to the request.
 * @returns `HOST/SERIAL`, unique in the fleet.
 */
export function permitKey(host: string, serial: number): string {
  return `${host}/${serial}`;
}

/** Waiting requests and outstanding permits of an owner, by key. */
export class PermitTable {
  private readonly permits = new Map<string, TrackedPermit>();
  private readonly keys = new Map<string, string>();
  private readonly waiting = new Map<string, TrackedRequest>();
  private readonly counts = new Map<string, number>();

  /**
   * Adds a waiting request.
   *
   * @returns False if the request is already waiting or has a permit.
   */
  addWaiting(key: string, request: TrackedRequest): boolean {
    if (this.waiting.has(key) || this.permits.has(key)) return false;
    this.waiting.set(key, request);
    return true;
  }

  /** @returns The removed request, or `undefined` if it was not waiting. */
  removeWaiting(key: string): TrackedRequest | undefined {
    const request = this.waiting.get(key);
    this.waiting.delete(key);
    return request;
  }

  /** Adds a permit, which then counts against its target's limit. */
  addPermit(key: string, permit: TrackedPermit): void {
    this.permits.set(key, permit);
    this.keys.set(permit.permitId, key);
    this.counts.set(permit.target, this.count(permit.target) + 1);
  }

  /** @returns The removed permit, or `undefined` if the key has none. */
  removePermit(key: string): TrackedPermit | undefined {
    const permit = this.permits.get(key);
    if (!permit) return undefined;
    this.permits.delete(key);
    this.keys.delete(permit.permitId);
    this.counts.set(permit.target, this.count(permit.target) - 1);
    return permit;
  }

  /** @returns The permit of a key. */
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

  /** @returns Number of permits by target, without those of the given hosts. */
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

  /** @returns Keys of a host's permits whose deadline is before `beforeMs`. */
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
