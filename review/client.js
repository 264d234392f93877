// Stand-in of a client: one request on a connection of its own.
import { Buffer } from "node:buffer";
import { request } from "node:http";

/** Sends one client attempt; resolves with what the client saw. */
export function send({ host, port, method = "POST", path, headers, body }) {
  return new Promise((resolve) => {
    const seen = { status: 0, headers: {}, body: "", end: "no answer" };
    const startMs = Date.now();
    const finish = (end) => {
      if (seen.ms !== undefined) return;
      seen.end = end;
      seen.ms = Date.now() - startMs;
      resolve(seen);
    };
    const deadlineMs = Number(headers["Rosemarytiller-Deadline-Ms"]);
    const call = request(
      { host, port, method, path, headers, agent: false },
      (response) => {
        seen.status = response.statusCode;
        seen.headers = response.headers;
        const chunks = [];
        response.on("data", (chunk) => {
          chunks.push(chunk);
          seen.body = Buffer.concat(chunks).toString();
        });
        response.on(
          "end",
          () => finish(response.complete ? "complete" : "cut"),
        );
        response.on("error", () => finish("cut"));
        response.on("close", () => finish("cut"));
      },
    );
    call.on("error", (error) => finish(`closed: ${error.message}`));
    setTimeout(() => {
      finish("given up");
      call.destroy();
    }, deadlineMs + 500).unref();
    call.end(body);
  });
}
