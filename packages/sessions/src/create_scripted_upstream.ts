import { expectedTokens } from "@rosemarytiller/standins";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** How a scripted upstream responds to one call or resume request. */
export enum UpstreamStep {
  Complete = "complete",
  ServiceUnavailable = "service-unavailable",
  InternalError = "internal-error",
  CloseBeforeHeaders = "close-before-headers",
  CloseAfterHeaders = "close-after-headers",
  Truncate = "truncate",
  EndWithoutDone = "end-without-done",
  BadJson = "bad-json",
  /** Skips event IDs in the middle of the stream. */
  Gap = "gap",
  /** Sends an event twice. */
  Repeat = "repeat",
  /** Sends an event of another attempt. */
  OtherAttempt = "other-attempt",
  ErrorEvent = "error-event",
  WrongContentType = "wrong-content-type",
  /** Closes the connection long before content-length is reached. */
  ShortBody = "short-body",
  /** Answers 404. */
  RefuseResume = "refuse-resume",
  /** Sends nothing and keeps the connection open. */
  Hang = "hang",
}

/** An upstream that responds as scripted and counts the calls that it ran. */
export interface ScriptedUpstream {
  readonly url: string;
  /**
   * Number of calls that weren't rejected, by request ID (`x-request-id`). A
   * call without an answer counts.
   */
  readonly runs: Map<string, number>;
  /**
   * When the router cancelled each attempt, by attempt ID, on the clock of
   * `performance.now()`.
   */
  readonly cancelledAtMs: Map<string, number>;
  /** Resume requests received so far. */
  resumeCount(): number;
  /**
   * Sets the steps of the next calls and resumes; later ones are answered
   * completely.
   */
  setSteps(steps: readonly UpstreamStep[]): void;
  close(): Promise<void>;
}

/** Tokens in each answer of a scripted upstream. */
export const SCRIPTED_TOKENS = 6;

interface ScriptedCall {
  attempt: string;
  stream: boolean;
  tokens: string[];
}

/** `from` is the index of the first token to send; 0 except for a resume. */
type StepHandler = (
  call: ScriptedCall,
  from: number,
  response: ServerResponse,
) => void;

/** `id` is the event ID; it differs from the index only to fake a gap. */
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

function formatCompletion(call: ScriptedCall): string {
  const message = { role: "assistant", content: call.tokens.join("") };
  const choices = [{ index: 0, message, finish_reason: "stop" }];
  return JSON.stringify({ id: call.attempt, choices });
}

/**
 * Writes the headers and about half of the answer; returns the next token's
 * index.
 */
function writeHalf(
  call: ScriptedCall,
  from: number,
  response: ServerResponse,
): number {
  const to = from + Math.ceil((SCRIPTED_TOKENS - from) / 2);
  if (call.stream) writeTokens(call, { from, to }, response);
  else {
    const text = formatCompletion(call);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": text.length,
    });
    response.write(text.slice(0, text.length / 2));
  }
  return to;
}

/**
 * Creates a step that writes half of a stream, then the text from `format`,
 * then the rest. A non-streaming answer is malformed JSON.
 */
function createInsertStep(format: (call: ScriptedCall, at: number) => string) {
  const handler: StepHandler = (call, from, response) => {
    if (!call.stream) return sendJson(response, "[1, 2");
    const at = writeHalf(call, from, response);
    response.write(format(call, at));
    for (let index = at; index < SCRIPTED_TOKENS; index++) {
      response.write(formatToken(call, index));
    }
    response.end("data: [DONE]\n\n");
  };
  return handler;
}

function sendJson(response: ServerResponse, text: string): void {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(text);
}

const sendComplete: StepHandler = (call, from, response) => {
  if (!call.stream) return sendJson(response, formatCompletion(call));
  writeTokens(call, { from, to: SCRIPTED_TOKENS }, response);
  response.end("data: [DONE]\n\n");
};

const STEP_HANDLERS: Record<UpstreamStep, StepHandler> = {
  [UpstreamStep.Complete]: sendComplete,
  [UpstreamStep.ServiceUnavailable]: (_call, _from, response) =>
    void response.writeHead(503).end("busy"),
  [UpstreamStep.InternalError]: (_call, _from, response) =>
    void response.writeHead(500).end("failed"),
  [UpstreamStep.CloseBeforeHeaders]: (_call, _from, response) =>
    void response.destroy(),
  [UpstreamStep.CloseAfterHeaders]: (call, from, response) => {
    writeTokens(call, { from, to: from }, response);
    setImmediate(() => response.destroy());
  },
  [UpstreamStep.Truncate]: (call, from, response) => {
    writeHalf(call, from, response);
    setImmediate(() => response.destroy());
  },
  [UpstreamStep.EndWithoutDone]: (call, from, response) => {
    if (!call.stream) return sendJson(response, "{}");
    writeHalf(call, from, response);
    response.end();
  },
  [UpstreamStep.BadJson]: createInsertStep(() => "data: {broken\n\n"),
  [UpstreamStep.Gap]: createInsertStep((call, at) =>
    formatToken(call, at, at + 2)
  ),
  [UpstreamStep.Repeat]: createInsertStep((call, at) =>
    formatToken(call, at - 1)
  ),
  [UpstreamStep.OtherAttempt]: createInsertStep((call, at) =>
    formatToken({ ...call, attempt: "attempt-of-another" }, at)
  ),
  [UpstreamStep.ErrorEvent]: createInsertStep(() =>
    `data: ${JSON.stringify({ error: { message: "out of memory" } })}\n\n`
  ),
  [UpstreamStep.WrongContentType]: (_call, _from, response) => {
    response.writeHead(200, { "content-type": "text/html" });
    response.end("<p>welcome</p>");
  },
  [UpstreamStep.ShortBody]: (call, _from, response) => {
    response.writeHead(200, {
      "content-type": call.stream ? "text/event-stream" : "application/json",
      "content-length": 100_000,
    });
    response.write(call.stream ? formatToken(call, 0) : formatCompletion(call));
    setImmediate(() => response.destroy());
  },
  [UpstreamStep.RefuseResume]: (_call, _from, response) =>
    void response.writeHead(404).end(),
  [UpstreamStep.Hang]: () => {},
};

/** Steps in which the upstream rejects the request without running it. */
const NOT_RUN_STEPS = new Set([
  UpstreamStep.ServiceUnavailable,
  UpstreamStep.RefuseResume,
]);

/**
 * Starts a scripted upstream on a free port of 127.0.0.1; `close` drops open
 * connections.
 */
export async function createScriptedUpstream(): Promise<ScriptedUpstream> {
  const runs = new Map<string, number>();
  const cancelledAtMs = new Map<string, number>();
  const calls = new Map<string, ScriptedCall>();
  let steps: UpstreamStep[] = [];
  let resumes = 0;

  async function runCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const chunk of request) text += chunk;
    const step = steps.shift() ?? UpstreamStep.Complete;
    const body = JSON.parse(text || "{}");
    const call = {
      attempt: String(request.headers["x-attempt-id"]),
      stream: body.stream === true,
      tokens: expectedTokens(JSON.stringify(body.messages), SCRIPTED_TOKENS),
    };
    if (!NOT_RUN_STEPS.has(step)) {
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
      cancelledAtMs.set(attempt, performance.now());
      return void response.writeHead(204).end();
    }
    resumes++;
    const call = calls.get(attempt);
    const from = Number(url.searchParams.get("from"));
    const step = steps.shift() ?? UpstreamStep.Complete;
    if (!call) return void response.writeHead(404).end();
    STEP_HANDLERS[step](call, from, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    runs,
    cancelledAtMs,
    resumeCount: () => resumes,
    setSteps: (next) => void (steps = [...next]),
    async close() {
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}
