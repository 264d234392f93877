import {
  FLOOR_SPACING,
  type QueuedRequest,
  scaleFloors,
} from "./queued_request.ts";

/** Tracks how far each class is below its guaranteed share of grants. */
export interface Floors {
  /** Class that must get the next grant, among those that could start. */
  dueClass(heads: readonly QueuedRequest[]): string | undefined;
  /** Records a grant while the classes of `heads` could start. */
  onGrant(
    granted: QueuedRequest,
    options: { heads: readonly QueuedRequest[]; byFloor: boolean },
  ): void;
}

/**
 * Creates the floors of a pool. A class is due when its deficit reaches one
 * grant; floor grants are at least `FLOOR_SPACING` grants apart.
 */
export function createFloors(): Floors {
  /** Grants that each class still lacks to reach its floor. */
  const deficits = new Map<string, number>();
  let grantsSinceFloor = FLOOR_SPACING;
  return {
    dueClass(heads) {
      if (grantsSinceFloor < FLOOR_SPACING) return undefined;
      let due: string | undefined;
      let most = 1 - ROUNDING_TOLERANCE;
      for (const { className } of heads) {
        const deficit = deficits.get(className) ?? 0;
        if (deficit < most) continue;
        if (due !== undefined && deficit === most && className > due) continue;
        most = deficit;
        due = className;
      }
      return due;
    },
    onGrant(granted, { heads, byFloor }) {
      const shares = new Map<string, number>();
      for (const head of heads) shares.set(head.className, head.floorShare);
      let sum = 0;
      for (const share of shares.values()) sum += share;
      const scale = scaleFloors(sum);
      for (const [className, share] of shares) {
        deficits.set(className, (deficits.get(className) ?? 0) + share * scale);
      }
      const rest = (deficits.get(granted.className) ?? 0) - 1;
      deficits.set(granted.className, Math.max(0, rest));
      grantsSinceFloor = byFloor ? 1 : grantsSinceFloor + 1;
    },
  };
}

/** Tolerance for rounding errors in sums of shares. */
const ROUNDING_TOLERANCE = 1e-9;
