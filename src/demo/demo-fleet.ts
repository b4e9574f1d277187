import {request} from 'undici';
import type {Clock} from '../process/clock.js';
import {checkSettings} from '../process/settings.js';
import {freePort} from '../../stand-ins/free-port.js';
import {createHost, type Host} from '../wiring.js';
import type {Example} from './example.js';
import {ExampleStandIns} from './example-stand-ins.js';

/** Time between two looks at whether a host is ready, in milliseconds. */
const readyCheckMs = 20;

/** The hosts of an example and the stand-ins around them, in one process, on free ports. */
export class DemoFleet {
  readonly standIns: ExampleStandIns;
  /** Base URLs of the hosts for callers. */
  readonly origins: string[] = [];
  private readonly hosts: Host[] = [];

  /**
   * @param example - Example to run.
   * @param clock - Clock for waiting.
   */
  constructor(
    private readonly example: Example,
    private readonly clock: Clock,
  ) {
    this.standIns = new ExampleStandIns(example, 'free');
  }

  /**
   * Starts everything.
   *
   * @param timeoutMs - Time in which all hosts must be ready, in milliseconds.
   * @throws Error if a host is not ready in time.
   */
  async start(timeoutMs: number): Promise<void> {
    await this.standIns.start();
    // Hosts have to know each other's ports before any of them listens.
    const ports = await Promise.all(this.example.hosts.map(() => freePort()));
    this.example.hosts.forEach((file, i) => this.list(file, ports[i]));
    for (const [i, file] of this.example.hosts.entries()) {
      const host = createHost(
        checkSettings({
          ...structuredClone(file),
          callers: {address: '127.0.0.1', port: 0},
          peers: {
            address: '127.0.0.1',
            port: ports[i],
            seeds: ports
              .filter(port => port !== ports[i])
              .map(port => `127.0.0.1:${port}`),
            tls: {mode: 'plain'},
          },
          platform: this.standIns.platform,
          logLevel: 'silent',
        }),
      );
      const {callersPort} = await host.start();
      this.hosts.push(host);
      this.origins.push(`http://127.0.0.1:${callersPort}`);
    }
    const endMs = this.clock.nowMs() + timeoutMs;
    for (const origin of this.origins) await this.untilReady(origin, endMs);
  }

  /** Drains the hosts and stops everything. */
  async stop(): Promise<void> {
    await Promise.all(this.hosts.map(host => host.stop()));
    await this.standIns.stop();
  }

  private list(file: Record<string, unknown>, port: number): void {
    this.standIns.hostList.put({
      id: String(file['host']),
      zone: String(file['zone']),
      address: `127.0.0.1:${port}`,
      state: 'live',
    });
  }

  private async untilReady(origin: string, endMs: number): Promise<void> {
    for (;;) {
      const res = await request(`${origin}/readyz`);
      await res.body.dump();
      if (res.statusCode === 200) return;
      if (this.clock.nowMs() > endMs) {
        throw new Error(`host ${origin} is not ready`);
      }
      await new Promise<void>(resolve =>
        this.clock.after(readyCheckMs, resolve),
      );
    }
  }
}
