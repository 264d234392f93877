/** A linear regression through measured points. */
export interface Slope {
  /** Increase of the value per unit of size. */
  perUnit: number;
  /** Intercept: value at size zero. */
  base: number;
  /** Coefficient of determination (R²); 1 is a perfect fit. */
  fit: number;
  points: { size: number; value: number }[];
}

/**
 * Fits a line by least squares.
 *
 * @throws {RangeError} if there are fewer than three different sizes.
 */
export function fitSlope(points: { size: number; value: number }[]): Slope {
  if (new Set(points.map(({ size }) => size)).size < 3) {
    throw new RangeError("a slope needs at least three different sizes");
  }
  const count = points.length;
  const meanSize = sum(points.map(({ size }) => size)) / count;
  const meanValue = sum(points.map(({ value }) => value)) / count;
  const covariance = sum(
    points.map(({ size, value }) => (size - meanSize) * (value - meanValue)),
  );
  const variance = sum(points.map(({ size }) => (size - meanSize) ** 2));
  const perUnit = covariance / variance;
  const base = meanValue - perUnit * meanSize;
  const total = sum(points.map(({ value }) => (value - meanValue) ** 2));
  const residual = sum(
    points.map(({ size, value }) => (value - base - perUnit * size) ** 2),
  );
  const fit = total === 0 ? 1 : 1 - residual / total;
  return { perUnit, base, fit, points };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
