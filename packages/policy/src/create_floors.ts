import {
  FLOOR_SPACING,
  type QueuedRequest,
  scaleFloors,
} from "./queued_request.ts";

/** Counts what each class is owed by its guaranteed share of grants. */
export interface Floors {
  /** Class that must have the next grant, of those that could start. */
  dueClass(heads: readonly QueuedRequest[]): string | undefined;
  /** Notes a grant while the classes of `heads` could start. */
  onGrant(
    granted: QueuedRequest,
    options: { heads: readonly QueuedRequest[]; byFloor: boolean },
  ): void;
}

/** Creates the floors of a pool. */
export function createFloors(): Floors {
  const owed = new Map<string, number>();
  let sinceFloor = FLOOR_SPACING;
  return {
    dueClass(heads) {
      if (sinceFloor < FLOOR_SPACING) return undefined;
      let due: string | undefined;
      let most = 1 - ROUNDING;
      for (const { className } of heads) {
        const grants = owed.get(className) ?? 0;
        if (grants < most) continue;
        if (due !== undefined && grants === most && className > due) continue;
        most = grants;
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
        owed.set(className, (owed.get(className) ?? 0) + share * scale);
      }
      const rest = (owed.get(granted.className) ?? 0) - 1;
      owed.set(granted.className, Math.max(0, rest));
      sinceFloor = byFloor ? 1 : sinceFloor + 1;
    },
  };
}

/** Room for the rounding of sums of shares. */
const ROUNDING = 1e-9;
