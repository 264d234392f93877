import { createFakeClock } from "@rosemarytiller/shared";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouteHistory } from "./create_route_history.ts";
import { RouteKind } from "./enums.ts";
import type { Route } from "./ports.ts";

const WINDOW_MS = 1000;

function routeTo(prefix: string, ...services: string[]): Route {
  return {
    name: prefix,
    host: "calls.example",
    prefix,
    kind: RouteKind.Stream,
    timeoutMs: 1000,
    targetMs: 100,
    tier: 0,
    targets: services.map((service) => ({ service, weight: 1 })),
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    maxPauseMs: 200,
  };
}

function createTestHistory() {
  const clock = createFakeClock();
  const history = createRouteHistory(clock);
  const servicesOf = (route: Route) => history.servicesOf(route, WINDOW_MS);
  return { clock, history, servicesOf };
}

test("a split route's services are known from the first configuration on", () => {
  const { history, servicesOf } = createTestHistory();
  const split = routeTo("/a/", "x", "y");
  assert.equal(servicesOf(split), undefined);
  history.onRoutes([split]);
  assert.deepEqual(servicesOf(split), ["x", "y"]);
});

test("a moved route's former service counts for the window", () => {
  const { clock, history, servicesOf } = createTestHistory();
  history.onRoutes([routeTo("/a/", "x")]);
  clock.advance(5 * WINDOW_MS);
  const moved = routeTo("/a/", "y");
  history.onRoutes([moved]);
  assert.deepEqual(servicesOf(moved), ["x", "y"]);
  clock.advance(WINDOW_MS);
  assert.deepEqual(servicesOf(moved), ["x", "y"]);
  clock.advance(1);
  assert.deepEqual(servicesOf(moved), ["y"]);
});

test("a configuration without a change of the route changes nothing", () => {
  const { clock, history, servicesOf } = createTestHistory();
  const route = routeTo("/a/", "x");
  for (let version = 0; version < 3; version++) {
    history.onRoutes([route, routeTo("/b/", "y")]);
    clock.advance(WINDOW_MS / 2);
  }
  assert.deepEqual(servicesOf(route), ["x"]);
});

test("requests of a new route may have matched another one before", () => {
  const { clock, history, servicesOf } = createTestHistory();
  const [outer, inner] = [routeTo("/a/", "x"), routeTo("/a/b/", "y")];
  history.onRoutes([outer]);
  clock.advance(WINDOW_MS);
  history.onRoutes([outer, inner]);
  assert.equal(servicesOf(inner), undefined);
  assert.deepEqual(servicesOf(outer), ["x"]);
  clock.advance(WINDOW_MS);
  assert.deepEqual(servicesOf(inner), ["y"]);
});

test("requests of a removed route match the one with a shorter prefix", () => {
  const { clock, history, servicesOf } = createTestHistory();
  const [outer, inner] = [routeTo("/a/", "x"), routeTo("/a/b/", "y")];
  const other = routeTo("/c/", "x");
  history.onRoutes([outer, inner, other]);
  clock.advance(WINDOW_MS);
  history.onRoutes([outer, other]);
  assert.equal(servicesOf(outer), undefined);
  assert.deepEqual(servicesOf(other), ["x"]);
  clock.advance(WINDOW_MS);
  assert.deepEqual(servicesOf(outer), ["x"]);
});
