import { type SharingFleet, TURN_MS, turnOf } from "./turn_of.ts";

/**
 * How many calls an upstream has room for, learnt from those that it declines.
 * For upstreams that fall over if they have to decline too many. VMs that wait
 * for the same place take turns.
 */
export interface RoomEstimate {
  /** The VM `from` sent a call. */
  onSent(from: string, nowMs: number): void;
  /** A call ended, after which `inFlight` others are there. */
  onEnded(inFlight: number, nowMs: number): void;
  /**
   * The upstream declined a call. `inFlight` is the number of calls that were
   * known to be there, that one included.
   */
  onDeclined(inFlight: number, nowMs: number): void;
  /** Whether this VM may send a call to the upstream, where `inFlight` are. */
  canSend(inFlight: number, nowMs: number, fleet: SharingFleet): boolean;
}

/** What an upstream says about its room. */
export interface RoomOptions {
  /** Calls that it takes while it is well. */
  slots: number;
  /** Calls a second that it may decline before it falls over. */
  maxDeclined: number;
}

/** Window in which declined calls are counted, in milliseconds. */
const WINDOW_MS = 1000;
/** Share of the calls it may decline after which it gets none for a while. */
const SAFE_SHARE = 0.5;
/** Time without a declined call after which the room grows by one, in ms. */
const GROW_MS = 2000;

/** Creates the estimate, which starts with all slots. */
export function createRoomEstimate(options: RoomOptions): RoomEstimate {
  const { slots, maxDeclined } = options;
  const safeDeclined = Math.max(1, Math.floor(maxDeclined * SAFE_SHARE));
  let room = slots;
  let roomAtMs = 0;
  let declinedMs: number[] = [];
  let lastSender = "";
  /** Start of the first VM's turn for a free place. */
  let turnsFromMs = 0;

  function roomAt(nowMs: number): number {
    const grown = Math.floor((nowMs - roomAtMs) / GROW_MS);
    return Math.min(slots, room + grown);
  }

  function recentlyDeclined(nowMs: number): number {
    declinedMs = declinedMs.filter((ms) => ms > nowMs - WINDOW_MS);
    return declinedMs.length;
  }

  return {
    onSent(from, nowMs) {
      lastSender = from;
      turnsFromMs = nowMs;
    },
    onEnded(inFlight, nowMs) {
      if (inFlight + 1 >= roomAt(nowMs)) turnsFromMs = nowMs;
    },
    onDeclined(inFlight, nowMs) {
      declinedMs.push(nowMs);
      room = Math.max(1, Math.min(roomAt(nowMs), inFlight - 1));
      roomAtMs = nowMs;
    },
    canSend(inFlight, nowMs, fleet) {
      if (recentlyDeclined(nowMs) >= safeDeclined) return false;
      if (inFlight >= roomAt(nowMs)) return false;
      return nowMs >= turnsFromMs + turnOf(fleet, lastSender) * TURN_MS;
    },
  };
}
