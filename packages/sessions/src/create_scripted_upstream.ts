import { expectedTokens } from "@rosemarytiller/standins";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** What a scripted upstream does with one call or resume. */
export enum UpstreamStep {
  Whole = "whole",
  BusyStatus = "busy-status",
  FailStatus = "fail-status",
  CloseBeforeHead = "close-before-head",
  CloseAfterHead = "close-after-head",
  Truncate = "truncate",
  EndWithoutMark = "end-without-mark",
  BadJson = "bad-json",
  Gap = "gap",
  Repeat = "repeat",
  Crossed = "crossed",
  ErrorInside = "error-inside",
  WrongType = "wrong-type",
  ShortLength = "short-length",
  RefuseResume = "refuse-resume",
  Silent = "silent",
}

/** An upstream that fails as a script tells it and counts what it ran. */
export interface ScriptedUpstream {
  readonly url: string;
  /** Runs by request. */
  readonly runs: Map<string, number>;
  /** Attempts that the router cancelled, with the time of each. */
  readonly cancelled: Map<string, number>;
  /** Resumes asked for. */
  resumes(): number;
  /** Sets the steps of the next calls; whole answers follow. */
  script(steps: readonly UpstreamStep[]): void;
  close(): Promise<void>;
}

/** Tokens in each answer of a scripted upstream. */
export const SCRIPTED_TOKENS = 6;

interface ScriptedCall {
  attempt: string;
  stream: boolean;
  tokens: string[];
}

type StepHandler = (
  call: ScriptedCall,
  from: number,
  response: ServerResponse,
) => void;

function formatToken(call: ScriptedCall, index: number, id = index): string {
  const choices = [{ index: 0, delta: { content: call.tokens[index] } }];
  const chunk = { id: call.attempt, choices };
  return `id: ${id}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

function writeTokens(
  call: ScriptedCall,
  range: { from: number; to: number },
  response: ServerResponse,
): void {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
  for (let index = range.from; index < range.to; index++) {
    response.write(formatToken(call, index));
  }
}

function formatWhole(call: ScriptedCall): string {
  const message = { role: "assistant", content: call.tokens.join("") };
  const choices = [{ index: 0, message, finish_reason: "stop" }];
  return JSON.stringify({ id: call.attempt, choices });
}

/** Writes the head and about half of the answer. */
function writeHalf(
  call: ScriptedCall,
  from: number,
  response: ServerResponse,
): number {
  const to = from + Math.ceil((SCRIPTED_TOKENS - from) / 2);
  if (call.stream) writeTokens(call, { from, to }, response);
  else {
    const text = formatWhole(call);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": text.length,
    });
    response.write(text.slice(0, text.length / 2));
  }
  return to;
}

/** Writes half of a stream, then `extra`, then the rest. */
function withExtra(extra: (call: ScriptedCall, at: number) => string) {
  const handler: StepHandler = (call, from, response) => {
    if (!call.stream) return answerJson(response, "[1, 2");
    const at = writeHalf(call, from, response);
    response.write(extra(call, at));
    for (let index = at; index < SCRIPTED_TOKENS; index++) {
      response.write(formatToken(call, index));
    }
    response.end("data: [DONE]\n\n");
  };
  return handler;
}

function answerJson(response: ServerResponse, text: string): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(text);
}

const answerWhole: StepHandler = (call, from, response) => {
  if (!call.stream) return answerJson(response, formatWhole(call));
  writeTokens(call, { from, to: SCRIPTED_TOKENS }, response);
  response.end("data: [DONE]\n\n");
};

const STEP_HANDLERS: Record<UpstreamStep, StepHandler> = {
  [UpstreamStep.Whole]: answerWhole,
  [UpstreamStep.BusyStatus]: (_call, _from, response) =>
    void response.writeHead(503).end("busy"),
  [UpstreamStep.FailStatus]: (_call, _from, response) =>
    void response.writeHead(500).end("failed"),
  [UpstreamStep.CloseBeforeHead]: (_call, _from, response) =>
    void response.destroy(),
  [UpstreamStep.CloseAfterHead]: (call, from, response) => {
    writeTokens(call, { from, to: from }, response);
    setImmediate(() => response.destroy());
  },
  [UpstreamStep.Truncate]: (call, from, response) => {
    writeHalf(call, from, response);
    setImmediate(() => response.destroy());
  },
  [UpstreamStep.EndWithoutMark]: (call, from, response) => {
    if (!call.stream) return answerJson(response, "{}");
    writeHalf(call, from, response);
    response.end();
  },
  [UpstreamStep.BadJson]: withExtra(() => "data: {broken\n\n"),
  [UpstreamStep.Gap]: withExtra((call, at) => formatToken(call, at, at + 2)),
  [UpstreamStep.Repeat]: withExtra((call, at) => formatToken(call, at - 1)),
  [UpstreamStep.Crossed]: withExtra((call, at) =>
    formatToken({ ...call, attempt: "attempt-of-another" }, at)
  ),
  [UpstreamStep.ErrorInside]: withExtra(() =>
    `data: ${JSON.stringify({ error: { message: "out of memory" } })}\n\n`
  ),
  [UpstreamStep.WrongType]: (_call, _from, response) => {
    response.writeHead(200, { "content-type": "text/html" });
    response.end("<p>welcome</p>");
  },
  [UpstreamStep.ShortLength]: (call, _from, response) => {
    response.writeHead(200, {
      "content-type": call.stream ? "text/event-stream" : "application/json",
      "content-length": 100_000,
    });
    response.write(call.stream ? formatToken(call, 0) : formatWhole(call));
    setImmediate(() => response.destroy());
  },
  [UpstreamStep.RefuseResume]: (_call, _from, response) =>
    void response.writeHead(404).end(),
  [UpstreamStep.Silent]: () => {},
};

/** Steps in which the upstream refuses before it runs anything. */
const UNRUN_STEPS = new Set([
  UpstreamStep.BusyStatus,
  UpstreamStep.RefuseResume,
]);

/** Starts a scripted upstream. */
export async function createScriptedUpstream(): Promise<ScriptedUpstream> {
  const runs = new Map<string, number>();
  const cancelled = new Map<string, number>();
  const calls = new Map<string, ScriptedCall>();
  let steps: UpstreamStep[] = [];
  let resumes = 0;

  async function runCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const chunk of request) text += chunk;
    const step = steps.shift() ?? UpstreamStep.Whole;
    const body = JSON.parse(text || "{}");
    const call = {
      attempt: String(request.headers["x-attempt-id"]),
      stream: body.stream === true,
      tokens: expectedTokens(JSON.stringify(body.messages), SCRIPTED_TOKENS),
    };
    if (!UNRUN_STEPS.has(step)) {
      const id = String(request.headers["x-request-id"]);
      runs.set(id, (runs.get(id) ?? 0) + 1);
      calls.set(call.attempt, call);
    }
    STEP_HANDLERS[step](call, 0, response);
  }

  const server = createServer((request, response) => {
    response.on("error", () => {});
    const url = new URL(request.url ?? "/", "http://upstream");
    const attempt = url.pathname.split("/")[3] ?? "";
    if (!url.pathname.startsWith("/v1/streams/")) {
      return void runCall(request, response).catch(() => response.destroy());
    }
    if (request.method === "DELETE") {
      cancelled.set(attempt, performance.now());
      return void response.writeHead(204).end();
    }
    resumes++;
    const call = calls.get(attempt);
    const from = Number(url.searchParams.get("from"));
    const step = steps.shift() ?? UpstreamStep.Whole;
    if (!call) return void response.writeHead(404).end();
    STEP_HANDLERS[step](call, from, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    runs,
    cancelled,
    resumes: () => resumes,
    script: (next) => void (steps = [...next]),
    async close() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}
