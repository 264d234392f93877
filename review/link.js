// A proxy before a server that can cut the paths from single processes.
import { connect, createServer } from "node:net";

/**
 * Listens on a free port of `host` and passes connections on to `target`. While
 * `isCut(owner)` is true, bytes of that owner's connections are held up in both
 * directions, those of new ones too; they go on when the cut has ended, unless
 * their sender has closed the connection.
 */
export async function startLink({ host, target, ownerOf, isCut }) {
  const flushes = new Set();
  const sockets = new Set();

  function pass(from, to, owner) {
    const held = [];
    let hasEnded = false;
    const flush = () => {
      if (isCut(owner)) return;
      for (const chunk of held.splice(0)) to.write(chunk);
      if (hasEnded) to.end();
    };
    flushes.add(flush);
    from.on("data", (chunk) => {
      held.push(chunk);
      flush();
    });
    from.on("end", () => {
      hasEnded = true;
      flush();
    });
    from.on("error", () => {});
    from.on("close", () => {
      // The other side learns of the close when the cut has ended.
      const close = () => {
        if (isCut(owner)) return;
        flushes.delete(close);
        flushes.delete(flush);
        if (hasEnded) to.end();
        else to.destroy();
      };
      flushes.add(close);
      close();
    });
  }

  const server = createServer({ allowHalfOpen: true }, (near) => {
    const owner = ownerOf(near);
    const far = connect({ ...target, allowHalfOpen: true, noDelay: true });
    near.setNoDelay(true);
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
    }
    pass(near, far, owner);
    pass(far, near, owner);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** To be called when a cut has ended. */
    flush() {
      for (const flush of [...flushes]) flush();
    },
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
