/**
 * Number of whole calls that a share of a concurrency limit allows.
 *
 * Only one leader can hold more than half. It gets the remainder that the
 * rounded-down shares of all others leave, so that an upstream with a limit of
 * one can still be used.
 */
export function shareOfLimit(limit: number, share: number): number {
  if (share <= 0) return 0;
  if (share >= 1) return limit;
  const others = Math.floor(limit * (1 - share) + ROUNDING_TOLERANCE);
  if (share > 0.5) return limit - others;
  return Math.floor(limit * share + ROUNDING_TOLERANCE);
}

/**
 * Shares are fractions with denominators of at most a few hundred members, so a
 * product this close to a whole number is that number.
 */
const ROUNDING_TOLERANCE = 1e-9;
