import {hardware} from '../../stand-ins/hardware.js';
import type {HttpStandIn} from '../../stand-ins/http-stand-in.js';
import {
  EngineServer,
  HostListServer,
  LogServer,
  ServiceServer,
  WeightStoreServer,
} from '../../stand-ins/index.js';
import type {ConfigRecord} from '../version/config-state.js';
import {configStream} from '../version/config-store.js';
import type {TargetSpec} from '../version/resources/kinds.js';
import type {Example, ExampleResource} from './example.js';

/** Which ports the stand-ins take: those of the example's files, or free ones. */
export type PortChoice = 'declared' | 'free';

/** Stand-ins of everything outside the hosts of one example. */
export class ExampleStandIns {
  readonly log = new LogServer();
  readonly hostList = new HostListServer();
  readonly weightStore = new WeightStoreServer();
  /** Model engines by target name. */
  readonly engines = new Map<string, EngineServer>();
  /** Plain service instances by target name. */
  readonly services = new Map<string, ServiceServer>();
  private readonly open: HttpStandIn[] = [];

  /**
   * @param example - Example to stand in for.
   * @param ports - Which ports to take.
   */
  constructor(
    private readonly example: Example,
    private readonly ports: PortChoice,
  ) {}

  /**
   * Opens all servers and writes the example's resources to the log.
   *
   * @throws Error if a port is in use.
   */
  async start(): Promise<void> {
    try {
      await this.startPlatform();
      for (const resource of this.example.resources) {
        if (resource.kind === 'target') {
          await this.startTarget(resource.name, resource.spec);
        }
      }
    } catch (err) {
      await this.stop();
      throw err;
    }
    this.publish();
  }

  /** Closes all servers. */
  async stop(): Promise<void> {
    await Promise.all(this.open.splice(0).map(server => server.close()));
  }

  /** Number of open servers. */
  get size(): number {
    return this.open.length;
  }

  /** Base URLs of the platform's services, as the settings of a host name them. */
  get platform(): {
    logUrl: string;
    hostListUrl: string;
    weightStoreUrl: string;
  } {
    return {
      logUrl: this.log.address,
      hostListUrl: this.hostList.address,
      weightStoreUrl: this.weightStore.address,
    };
  }

  private async startPlatform(): Promise<void> {
    const declared = this.example.hosts[0]['platform'] as Record<
      keyof ExampleStandIns['platform'],
      string
    >;
    await this.listen(this.log, declared.logUrl);
    await this.listen(this.hostList, declared.hostListUrl);
    await this.listen(this.weightStore, declared.weightStoreUrl);
  }

  private async startTarget(name: string, spec: TargetSpec): Promise<void> {
    const service = this.example.resources.find(
      other => other.kind === 'service' && other.name === spec.service,
    );
    if (service?.kind === 'service' && service.spec.type === 'plain') {
      const server = new ServiceServer();
      this.services.set(name, server);
      return this.listen(server, spec.address);
    }
    const server = new EngineServer({
      seed: this.engines.size + 1,
      model: {
        ...hardware[spec.hardware ?? 'gen-1'],
        coldConcurrency: spec.coldConcurrency ?? 1,
      },
      checksFencing: spec.checksFencing ?? false,
      modelName: spec.service,
      version: spec.version,
    });
    this.engines.set(name, server);
    return this.listen(server, spec.address);
  }

  private async listen(server: HttpStandIn, address: string): Promise<void> {
    // Known before it listens, so that a failed start closes its timers too.
    this.open.push(server);
    await server.listen(
      this.ports === 'declared' ? Number(new URL(address).port) : 0,
    );
  }

  private publish(): void {
    for (const resource of this.example.resources) {
      const {kind, name} = resource;
      const record: ConfigRecord = {
        writeId: `example/${kind}/${name}`,
        actor: 'example',
        time: new Date().toISOString(),
        op: 'put',
        kind,
        name,
        baseGeneration: 0,
        spec: this.withAddress(resource),
      };
      this.log.store.append(configStream, record, 0);
    }
  }

  private withAddress(resource: ExampleResource): ExampleResource['spec'] {
    if (resource.kind !== 'target') return resource.spec;
    const server =
      this.engines.get(resource.name) ?? this.services.get(resource.name);
    return {
      ...resource.spec,
      address: server?.address ?? resource.spec.address,
    };
  }
}
