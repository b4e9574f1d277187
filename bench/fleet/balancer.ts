import type {HostProcess} from './host-process.js';

/** Time between two health checks, and the longest time of one, in milliseconds. */
const checkMs = 250;
const checkTimeoutMs = 500;

/** Load balancer in front of the hosts: sends requests to those that say they are ready. */
export class Balancer {
  private readonly ready = new Set<HostProcess>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly hosts: readonly HostProcess[]) {}

  /** Starts the health checks, and waits until all hosts are ready. */
  async start(timeoutMs: number): Promise<void> {
    const endMs = Date.now() + timeoutMs;
    await this.check();
    while (this.ready.size < this.hosts.length) {
      if (Date.now() > endMs) throw new Error(this.describeUnready());
      await new Promise(resolve => setTimeout(resolve, checkMs));
      await this.check();
    }
    this.timer = setInterval(() => void this.check(), checkMs);
  }

  /** Ends the health checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Chooses a ready host; `index` spreads the requests, and `avoid` is passed over if possible. */
  choose(index: number, avoid: ReadonlySet<HostProcess>): HostProcess {
    const ready = this.hosts.filter(host => this.ready.has(host));
    const better = ready.filter(host => !avoid.has(host));
    const from =
      better.length > 0 ? better : ready.length > 0 ? ready : this.hosts;
    return from[index % from.length];
  }

  private async check(): Promise<void> {
    await Promise.all(
      this.hosts.map(async host => {
        if (await host.isReady(checkTimeoutMs)) this.ready.add(host);
        else this.ready.delete(host);
      }),
    );
  }

  private describeUnready(): string {
    const late = this.hosts.filter(host => !this.ready.has(host));
    return late
      .map(host => `${host.plan.id} is not ready: ${host.logTail(3)}`)
      .join('\n');
  }
}
