import type {SharedStore} from '../../connection/store/shared-store.js';
import type {Clock} from '../clock.js';
import {FailureError} from '../errors/catalogue.js';
import type {Logger} from '../logger.js';

/** Time between two attempts to register a host, in milliseconds. */
const retryMs = 1000;
/** Period over which the hosts spread their calls after the store was restored, in milliseconds. */
const spreadMs = 1000;

/** Dependencies of a {@link HostRegistration}. */
export interface HostRegistrationParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: SharedStore;
  /** Name of this host. */
  readonly host: string;
  readonly ip: string;
  readonly zone: string;
  /** Random number in [0, 1). */
  readonly random: () => number;
}

/** The entry of this host in the store's list of hosts. */
export class HostRegistration {
  private removed = false;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: HostRegistrationParts) {}

  /**
   * Writes the entry. After a failure it is tried again later.
   *
   * @returns Resolves after the first attempt.
   */
  async add(): Promise<void> {
    const {clock, host, ip, store, zone} = this.parts;
    if (this.removed) return;
    try {
      await store.register(host, {ip, zone});
    } catch (err) {
      this.logFailure(err);
      clock.after(retryMs, () => void this.add());
    }
  }

  /** Writes the entry again, because the store was restored from a copy that may not hold it. */
  addAgain(): void {
    const {clock, random} = this.parts;
    clock.after(random() * spreadMs, () => void this.add());
  }

  /** Removes the entry, because the host stops. */
  async remove(): Promise<void> {
    this.removed = true;
    try {
      await this.parts.store.register(this.parts.host, undefined);
    } catch (err) {
      this.logFailure(err);
    }
  }

  private logFailure(err: unknown): void {
    if (!(err instanceof FailureError)) throw err;
    this.parts.logger.event('registrationFailed', {...err.failure});
  }
}
