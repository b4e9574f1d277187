import type {Quota} from '../../process/limits/quota-buckets.js';
import type {
  Configuration,
  Organisation,
  Route,
  ServiceConfig,
} from './types.js';

/** Index of one version of the configuration. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();
  private readonly byKey = new Map<string, Organisation>();
  private readonly byService = new Map<string, ServiceConfig>();

  /** @param configuration - Configuration to index. */
  constructor(readonly configuration: Configuration) {
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host);
      if (routes) routes.push(route);
      else this.byHost.set(route.host, [route]);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const organisation of configuration.organisations) {
      for (const key of organisation.keys) this.byKey.set(key, organisation);
    }
    for (const service of configuration.services) {
      this.byService.set(service.name, service);
    }
  }

  /** Whether callers need an API key on routes that are not public. */
  get needsKeys(): boolean {
    return this.configuration.needsKeys;
  }

  /**
   * Finds the route of a request: the one with the longest matching path prefix for its host name.
   *
   * @param host - Value of the `Host` header, with or without a port.
   * @param path - Path without query.
   */
  route(host: string, path: string): Route | undefined {
    const name = host.toLowerCase();
    const routes =
      this.byHost.get(name) ?? this.byHost.get(name.replace(/:\d+$/, ''));
    return routes?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /**
   * Finds a route by its name.
   *
   * @param name - Name of the route.
   */
  routeNamed(name: string): Route | undefined {
    return this.configuration.routes.find(route => route.name === name);
  }

  /**
   * Finds an organisation by its name.
   *
   * @param name - Name of the organisation.
   */
  organisationNamed(name: string): Organisation | undefined {
    return this.configuration.organisations.find(each => each.name === name);
  }

  /**
   * Finds the organisation of an API key.
   *
   * @param key - API key of a request.
   */
  organisation(key: string): Organisation | undefined {
    return this.byKey.get(key);
  }

  /**
   * Finds the quota of an organisation.
   *
   * @param name - Name of the organisation.
   * @returns The quota, or `undefined` if there is no limit.
   */
  quotaOf(name: string): Quota | undefined {
    const organisation = this.organisationNamed(name);
    return organisation && organisation.ratePerSecond > 0
      ? {rate: organisation.ratePerSecond, burst: organisation.burst}
      : undefined;
  }

  /**
   * Finds a service by its name.
   *
   * @param name - Name of the service.
   */
  service(name: string): ServiceConfig | undefined {
    return this.byService.get(name);
  }
}

/**
 * Chooses one of the services of a route at random, by their weights.
 *
 * @param route - Route of a request.
 * @param draw - Random number in [0, 1).
 * @returns Name of a service, or `undefined` if the route has none.
 */
export function chooseService(route: Route, draw: number): string | undefined {
  const {services} = route;
  let left = draw * services.reduce((sum, {weight}) => sum + weight, 0);
  for (const {service, weight} of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services.at(-1)?.service;
}
