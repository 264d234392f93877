import type { Socket } from "node:net";

/**
 * Bytes of a connection that are parsed in one turn of the event loop. The HTTP
 * client takes up to two milliseconds for as many bytes in chunks or headers of a
 * byte each.
 */
const MAX_TURN_BYTES = 4096;

/**
 * Lets the reader of a connection get at most `MAX_TURN_BYTES` in one turn of the
 * event loop, and nothing after the connection was destroyed: other connections
 * have their turns while a peer sends without end. Reads of a given size are
 * not limited. `onPaced` is called when a read has to wait for the next turn.
 */
export function paceReading(socket: Socket, onPaced: () => void): void {
  const read = socket.read.bind(socket);
  let left = MAX_TURN_BYTES;
  let isPaced = false;
  let isRenewing = false;

  /** Allows the bytes of the next turn, and lets the reader go on in it. */
  function renew(): void {
    if (isRenewing) return;
    isRenewing = true;
    setImmediate(() => {
      isRenewing = false;
      left = MAX_TURN_BYTES;
      if (!isPaced) return;
      isPaced = false;
      if (!socket.destroyed) socket.emit("readable");
    });
  }

  socket.read = (size) => {
    if (socket.destroyed) return null;
    const isShort = left === MAX_TURN_BYTES &&
      socket.readableLength < MAX_TURN_BYTES;
    // Most responses are short and need no further turn.
    if (size !== undefined || isShort) return read(size);
    if (left === 0) {
      isPaced = true;
      onPaced();
      return null;
    }
    const isMore = socket.readableLength > left;
    const chunk = isMore ? read(left) : read();
    if (chunk === null) return null;
    left = Math.max(0, left - chunk.length);
    renew();
    return chunk;
  };
}
