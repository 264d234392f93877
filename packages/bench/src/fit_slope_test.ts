import assert from "node:assert/strict";
import { test } from "node:test";
import { fitSlope } from "./fit_slope.ts";

test("points on a line give its slope and intercept with a perfect fit", () => {
  const points = [1, 2, 5].map((size) => ({ size, value: 3 + 2 * size }));
  const { perUnit, base, fit } = fitSlope(points);
  assert.ok(Math.abs(perUnit - 2) < 1e-9);
  assert.ok(Math.abs(base - 3) < 1e-9);
  assert.ok(fit > 0.999999);
});

test("fewer than three different sizes are rejected", () => {
  const points = [{ size: 1, value: 1 }, { size: 2, value: 2 }];
  assert.throws(() => fitSlope(points), RangeError);
});
