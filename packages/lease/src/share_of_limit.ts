/**
 * Whole calls of a limit that belong to a share of it.
 *
 * Only one leader can have more than half; it takes what the rounded-down
 * shares of all others must leave over, so that an upstream with a limit of
 * one still gets work.
 */
export function shareOfLimit(limit: number, share: number): number {
  if (share <= 0) return 0;
  if (share >= 1) return limit;
  const others = Math.floor(limit * (1 - share) + ROUNDING);
  if (share > 0.5) return limit - others;
  return Math.floor(limit * share + ROUNDING);
}

/**
 * Shares are fractions of at most a few hundred members: a product this close
 * to a whole number is one.
 */
const ROUNDING = 1e-9;
