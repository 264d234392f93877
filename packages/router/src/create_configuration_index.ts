import type {
  Account,
  Configuration,
  Route,
  ServiceDefinition,
} from "./ports.ts";

/** Lookup tables over one configuration. */
export interface ConfigurationIndex {
  configuration: Configuration;
  /** Finds the route of `host` with the longest prefix that matches `path`. */
  findRoute(host: string, path: string): Route | undefined;
  findAccount(key: string): Account | undefined;
  findService(name: string): ServiceDefinition | undefined;
  /** Tightest target of the routes to a service, in ms; Infinity if none. */
  tightestTargetMs(service: string): number;
}

/** Builds the lookup tables of a configuration. */
export function createConfigurationIndex(
  configuration: Configuration,
): ConfigurationIndex {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    let routes = routesByHost.get(host);
    if (!routes) routesByHost.set(host, routes = new Map());
    routes.set(route.prefix, route);
  }
  const accounts = new Map<string, Account>();
  for (const account of configuration.accounts ?? []) {
    for (const key of account.keys) accounts.set(key, account);
  }
  const services = new Map<string, ServiceDefinition>();
  for (const service of configuration.services) {
    services.set(service.name, service);
  }
  const tightest = new Map<string, number>();
  for (const { targets, targetMs } of configuration.routes) {
    for (const { service } of targets) {
      const current = tightest.get(service) ?? Infinity;
      tightest.set(service, Math.min(current, targetMs));
    }
  }
  return {
    configuration,
    findRoute(host, path) {
      const routes = routesByHost.get(hostName(host));
      if (!routes) return undefined;
      // Prefixes end with a slash, so only parts up to a slash are looked up.
      for (
        let end = path.lastIndexOf("/");
        end >= 0;
        end = end > 0 ? path.lastIndexOf("/", end - 1) : -1
      ) {
        const route = routes.get(path.slice(0, end + 1));
        if (route) return route;
      }
      return undefined;
    },
    findAccount: (key) => accounts.get(key),
    findService: (name) => services.get(name),
    tightestTargetMs: (service) => tightest.get(service) ?? Infinity,
  };
}

/** Strips the port and converts to lower case. */
function hostName(host: string): string {
  const colon = host.indexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
