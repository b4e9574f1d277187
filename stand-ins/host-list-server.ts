import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import type {ListedHost} from '../src/connection/platform/host-list-client.js';
import {HttpStandIn, sendJson, type ControlCommand} from './http-stand-in.js';

/** Platform's list of hosts; each change shows after a lag. */
export class HostListServer extends HttpStandIn {
  /** Time until a change shows, in milliseconds. */
  lagMs = 0;
  /** Whether no call succeeds. */
  down = false;
  private readonly changes: {dueMs: number; id: string; host?: ListedHost}[] =
    [];
  private readonly hosts = new Map<string, ListedHost>();

  /** Adds or changes a host. */
  put(host: ListedHost): void {
    this.change(host.id, host);
  }

  /** Removes a host. */
  remove(id: string): void {
    this.change(id);
  }

  protected override control(command: ControlCommand): unknown {
    const {do: name, ...rest} = command;
    if (name === 'put') this.put(rest as unknown as ListedHost);
    else if (name === 'remove') this.remove(String(rest['id']));
    else if (name === 'lag') this.lagMs = Number(rest['ms']);
    else if (name === 'down') this.down = rest['down'] !== false;
    else return undefined;
    return {done: name};
  }

  protected override async answer(
    _req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname !== '/hosts') {
      return sendJson(res, 404, {error: 'unknown path'});
    }
    if (this.down) return sendJson(res, 503, {error: 'down'});
    this.showDue();
    return sendJson(res, 200, {hosts: [...this.hosts.values()]});
  }

  private change(id: string, host?: ListedHost): void {
    this.changes.push({dueMs: performance.now() + this.lagMs, id, host});
  }

  private showDue(): void {
    const nowMs = performance.now();
    while (this.changes.length > 0 && this.changes[0].dueMs <= nowMs) {
      const {id, host} = this.changes.shift() as (typeof this.changes)[0];
      if (host) this.hosts.set(id, host);
      else this.hosts.delete(id);
    }
  }
}
