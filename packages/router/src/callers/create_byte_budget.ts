import type { CancelTimer } from "@rosemarytiller/shared";

/** Bytes that a holder has of the budget. */
export interface ByteReservation {
  /** Reserved size in bytes. */
  size(): number;
  /** Changes the size; returns false, without a change, if there is no room. */
  resize(bytes: number): boolean;
  /** Returns all bytes; further calls do nothing. */
  release(): void;
}

/**
 * Bytes that what callers send, or what upstreams respond, may occupy in memory,
 * over all connections.
 */
export interface ByteBudget {
  /**
   * Reserves bytes; undefined if there is no room. Up to `SMALL_BYTES` there is
   * a reserve that larger reservations do not get.
   */
  reserve(bytes: number): ByteReservation | undefined;
  usedBytes(): number;
  capacityBytes(): number;
  /** Runs `action` whenever bytes are returned, until cancelled. */
  onReleased(action: () => void): CancelTimer;
}

/** Largest reservation for which the reserve is kept, in bytes. */
export const SMALL_BYTES = 65_536;
/** Part of the budget that is kept for small reservations. */
const SMALL_SHARE = 1 / 4;
/** Largest bodies that fit beside the reserve at any memory. */
const MIN_LARGEST_BODIES = 1;

/** Creates an unused budget of a process with this memory, in bytes. */
export function createByteBudget(options: {
  memoryBytes: number;
  /** Part of the memory that the budget takes. */
  memoryShare: number;
  /** Largest body within the limits, in bytes. */
  maxBodyBytes(): number;
  /** Whether the process is short of memory: nothing large is reserved. */
  isTight(): boolean;
}): ByteBudget {
  const { memoryBytes, memoryShare, maxBodyBytes, isTight } = options;
  const actions = new Set<() => void>();
  let usedBytes = 0;

  /** Room for large reservations: a share of the memory, or a largest body. */
  function largeBytes(): number {
    return Math.max(
      memoryBytes * memoryShare * (1 - SMALL_SHARE),
      maxBodyBytes() * MIN_LARGEST_BODIES,
    );
  }

  const smallBytes = memoryBytes * memoryShare * SMALL_SHARE;
  const capacityBytes = () => largeBytes() + smallBytes;

  /** Whether a reservation may grow to `bytes`. */
  function hasRoom(bytes: number, ownBytes: number): boolean {
    const isSmall = bytes <= SMALL_BYTES;
    if (!isSmall && isTight()) return false;
    const limit = isSmall ? capacityBytes() : largeBytes();
    return usedBytes - ownBytes + bytes <= limit;
  }

  return {
    reserve(bytes) {
      if (!hasRoom(bytes, 0)) return undefined;
      let ownBytes = bytes;
      usedBytes += bytes;
      return {
        size: () => ownBytes,
        resize(newBytes) {
          if (newBytes > ownBytes && !hasRoom(newBytes, ownBytes)) return false;
          usedBytes += newBytes - ownBytes;
          ownBytes = newBytes;
          return true;
        },
        release() {
          if (ownBytes === 0) return;
          usedBytes -= ownBytes;
          ownBytes = 0;
          for (const action of [...actions]) action();
        },
      };
    },
    usedBytes: () => usedBytes,
    capacityBytes,
    onReleased(action) {
      actions.add(action);
      return () => void actions.delete(action);
    },
  };
}
