// Passes the connections of one port on to another, as a process of its own that
// a test can suspend. The target port is the only argument.
import { type AddressInfo, connect, createServer } from "node:net";
import process from "node:process";

/** Connections that the kernel accepts while the process does not. */
const BACKLOG = 1;

const targetPort = Number(process.argv[2]);
const server = createServer((client) => {
  const target = connect({ host: "127.0.0.1", port: targetPort });
  for (const [from, to] of [[client, target], [target, client]] as const) {
    from.setNoDelay();
    from.pipe(to);
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => to.destroySoon());
  }
});
server.listen({ host: "127.0.0.1", port: 0, backlog: BACKLOG }, () => {
  process.send!((server.address() as AddressInfo).port);
});
// The test has ended.
process.on("disconnect", () => process.exit(0));
