import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {
  ExecutionsReport,
  SeenExecution,
  StandInsOrder,
  StandInsReady,
} from './fleet-messages.js';

const program = fileURLToPath(
  new URL('./stand-ins-process.js', import.meta.url),
);

/** The stand-ins' process as the bench sees it. */
export class StandIns {
  private constructor(
    private readonly child: ChildProcess,
    /** Base URLs of the platform's services. */
    readonly platform: Readonly<Record<string, string>>,
  ) {}

  /** Starts the process and waits until its servers listen. */
  static async start(): Promise<StandIns> {
    const child = fork(program, {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    const [ready] = (await once(child, 'message')) as [StandInsReady];
    return new StandIns(child, ready.platform);
  }

  /** Changes the state of the platform. */
  order(order: StandInsOrder): void {
    this.child.send(order);
  }

  /** Fetches all executions since the start. */
  async executions(): Promise<readonly SeenExecution[]> {
    const answer = once(this.child, 'message');
    this.order({kind: 'executions'});
    const [report] = (await answer) as [ExecutionsReport];
    return report.executions;
  }

  /** Ends the process. */
  stop(): void {
    this.child.kill('SIGKILL');
  }
}
