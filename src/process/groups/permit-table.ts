/** A permit that an owner counts. */
export interface CountedPermit {
  readonly host: string;
  readonly target: string;
  /** Id in the scheduler. */
  readonly permitId: string;
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
  private readonly permits = new Map<string, CountedPermit>();
  private readonly keys = new Map<string, string>();
  private readonly waiting = new Map<string, string>();
  private readonly counts = new Map<string, number>();

  /** @returns False if the request waits already or has a permit. */
  addWaiting(key: string, host: string): boolean {
    if (this.waiting.has(key) || this.permits.has(key)) return false;
    this.waiting.set(key, host);
    return true;
  }

  /** @returns The host that asked, or `undefined` if the request does not wait. */
  removeWaiting(key: string): string | undefined {
    const host = this.waiting.get(key);
    this.waiting.delete(key);
    return host;
  }

  /** Counts a permit. */
  addPermit(key: string, permit: CountedPermit): void {
    this.permits.set(key, permit);
    this.keys.set(permit.permitId, key);
    this.counts.set(permit.target, this.count(permit.target) + 1);
  }

  /** @returns The permit that is no longer counted, if there was one. */
  removePermit(key: string): CountedPermit | undefined {
    const permit = this.permits.get(key);
    if (!permit) return undefined;
    this.permits.delete(key);
    this.keys.delete(permit.permitId);
    this.counts.set(permit.target, this.count(permit.target) - 1);
    return permit;
  }

  /** @returns A counted permit by key. */
  get(key: string): CountedPermit | undefined {
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

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** @returns Keys of the waiting requests of a host. */
  waitingOf(host: string): string[] {
    return [...this.waiting].filter(([, h]) => h === host).map(([key]) => key);
  }

  /** @returns Keys of the waiting requests and permits of a host. */
  keysOf(host: string): string[] {
    const held = [...this.permits].filter(([, p]) => p.host === host);
    return [...this.waitingOf(host), ...held.map(([key]) => key)];
  }

  /** @returns Hosts that have permits or waiting requests. */
  hosts(): Set<string> {
    const hosts = new Set(this.waiting.values());
    for (const {host} of this.permits.values()) hosts.add(host);
    return hosts;
  }
}
