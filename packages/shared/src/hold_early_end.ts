import type { CancelTimer, Clock } from "./clock.ts";
import type { Socket } from "node:net";

/**
 * Longest time for which an end is held back, in milliseconds: several round
 * trips, within which a peer that has closed resets the connection.
 */
const MAX_HOLD_MS = 300;

/**
 * Holds back the end of what a peer sends while bytes to it are still being
 * written. A peer that fails while it gets a request closes its connection and
 * resets it when more of the request arrives: a response without a length,
 * which the end would complete, is then incomplete. The end follows when all
 * bytes are written, or after `MAX_HOLD_MS`; after a reset there is none.
 */
export function holdEarlyEnd(socket: Socket, clock: Clock): void {
  const emit = socket.emit.bind(socket) as (...event: unknown[]) => boolean;
  let isHeld = false;

  function hold(): void {
    isHeld = true;
    let cancel: CancelTimer = () => {};
    const pass = () => {
      socket.off("finish", pass);
      cancel();
      if (!socket.destroyed) emit("end");
    };
    cancel = clock.after(MAX_HOLD_MS, pass);
    // The stream ends its own side at once, after which it does not drain.
    socket.once("finish", pass);
    socket.once("close", cancel);
  }

  socket.emit = ((...event: unknown[]) => {
    if (event[0] !== "end" || isHeld || socket.writableLength === 0) {
      return emit(...event);
    }
    hold();
    return true;
  }) as Socket["emit"];
}
