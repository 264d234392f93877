import type { Clock } from "@rosemarytiller/shared";
import type { Route } from "./ports.ts";

/** Services of the routes that this VM has had in effect. */
export interface RouteHistory {
  /** The routes of a configuration are in effect. */
  onRoutes(routes: readonly Route[]): void;
  /**
   * The services to which requests that match the route now may have gone in
   * the last `windowMs`; undefined if they may have matched another route.
   */
  servicesOf(route: Route, windowMs: number): string[] | undefined;
}

interface RouteUse {
  host: string;
  prefix: string;
  /** Monotonic time since which its requests match no other route, in ms. */
  sinceMs: number;
  /** Monotonic time until which requests went to each service, in ms. */
  serviceUntilMs: Map<string, number>;
}

type MatchedRequests = Pick<Route, "host" | "prefix">;

function keyOf({ host, prefix }: MatchedRequests): string {
  return `${host.toLowerCase()} ${prefix}`;
}

/** Whether `outer` matches the requests of `inner` if that does not exist. */
function includes(outer: MatchedRequests, inner: MatchedRequests): boolean {
  return outer.host.toLowerCase() === inner.host.toLowerCase() &&
    inner.prefix.startsWith(outer.prefix);
}

/**
 * Creates the history of a VM that has no configuration yet. What was in effect
 * before the first one is not known.
 */
export function createRouteHistory(clock: Clock): RouteHistory {
  let uses: Map<string, RouteUse> | undefined;

  function setServices({ serviceUntilMs }: RouteUse, { targets }: Route): void {
    for (const [service, untilMs] of serviceUntilMs) {
      if (untilMs === Infinity) serviceUntilMs.set(service, clock.now());
    }
    for (const { service } of targets) serviceUntilMs.set(service, Infinity);
  }

  return {
    onRoutes(routes) {
      const former = uses;
      const sinceMs = former ? clock.now() : -Infinity;
      uses = new Map();
      for (const route of routes) {
        const key = keyOf(route);
        const use = former?.get(key) ?? {
          host: route.host,
          prefix: route.prefix,
          sinceMs,
          serviceUntilMs: new Map(),
        };
        setServices(use, route);
        uses.set(key, use);
      }
      for (const [key, removed] of former ?? []) {
        if (uses.has(key)) continue;
        for (const use of uses.values()) {
          if (includes(use, removed)) use.sinceMs = sinceMs;
        }
      }
    },
    servicesOf(route, windowMs) {
      const use = uses?.get(keyOf(route));
      const fromMs = clock.now() - windowMs;
      if (!use || use.sinceMs > fromMs) return undefined;
      const services: string[] = [];
      for (const [service, untilMs] of use.serviceUntilMs) {
        if (untilMs >= fromMs) services.push(service);
        else use.serviceUntilMs.delete(service);
      }
      return services;
    },
  };
}
