import type { Socket } from "node:net";

/** Code of the error of a connection that its peer has reset. */
const RESET_CODE = "ECONNRESET";

/** Code of the error with which the request fails. */
const FAILURE_CODE = "RESET";

/**
 * Lets a reset of a connection fail the HTTP client's request: the client takes
 * a reset for the end of a response without a length.
 */
export function failOnReset(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (...event: unknown[]) => boolean;

  socket.emit = ((...event: unknown[]) => {
    const [name, value] = event;
    if (name === "error" && isReset(value)) {
      const error = new Error(value.message, { cause: value });
      return emit("error", Object.assign(error, { code: FAILURE_CODE }));
    }
    // A reset right after data is reported as an end, but the socket then has
    // no remote address.
    if (name === "end" && socket.remoteAddress === undefined) {
      socket.destroy(new Error("the connection was reset"));
      return true;
    }
    return emit(...event);
  }) as Socket["emit"];
}

function isReset(value: unknown): value is Error {
  return value instanceof Error && "code" in value && value.code === RESET_CODE;
}
