import { hashText } from "@rosemarytiller/shared/rendezvous";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Text in a prompt that makes the engine crash when it receives the call. */
export const CRASH_PROMPT_MARKER = "crash-the-engine";

/** Simulated capacity, timing and warm-up of a stand-in engine. */
export interface EngineOptions {
  /** Port to listen on; 0 (the default) picks a free one. */
  port?: number;
  /**
   * Maximum concurrent calls (default 8). Further calls are queued by the
   * `x-priority` header, lowest number first; 4 if absent.
   */
  capacity?: number;
  /**
   * Maximum concurrent calls during warm-up (default: no limit). One more
   * crashes the engine.
   */
  warmUpCapacity?: number;
  /** Calls that must finish before the warm-up ends (default 0). */
  warmUpCalls?: number;
  /** Time to first token in milliseconds (default 5). */
  firstTokenMs?: number;
  /** Time between two tokens in milliseconds (default 2). */
  tokenMs?: number;
  /** Simulated staleness of load reports in milliseconds (default 0). */
  reportLagMs?: number;
  /**
   * Clock of the tokens and load reports: returns a monotonic time in
   * milliseconds (default `performance.now`).
   */
  now?: () => number;
}

/** Counters of a stand-in engine; a crash does not reset them, tests may. */
export interface EngineCounts {
  /** Number of calls started, by `x-request-id`. */
  runs: Map<string, number>;
  started: number;
  completed: number;
  cancelled: number;
  crashes: number;
  /** Highest number of concurrent calls. */
  peak: number;
  /** Highest number of concurrent calls during warm-up. */
  warmUpPeak: number;
  /** Tokens of calls whose complete answer was sent. */
  tokensDelivered: number;
  /** Tokens generated for calls whose complete answer was not sent. */
  tokensWasted: number;
}

/** An HTTP server that simulates a model engine. */
export interface StandInEngine {
  readonly url: string;
  readonly port: number;
  readonly counts: EngineCounts;
  /** Current number of running calls, without the queued ones. */
  running(): number;
  /**
   * Aborts all calls and restarts the warm-up, under a new instance ID. The
   * server stays up.
   */
  crash(): void;
  /** Restarts the warm-up without a crash or any other visible sign. */
  restartWarmUp(): void;
  /** Changes options at run time. */
  setOptions(options: Partial<EngineOptions>): void;
  /** Closes the connections of all calls; their streams can be resumed. */
  breakConnections(): void;
  close(): Promise<void>;
}

interface EngineCall {
  id: string;
  requestId: string;
  tokens: string[];
  /** Number of tokens generated so far. */
  generatedTokens: number;
  response: ServerResponse | undefined;
  /** Index of the next token to write to the current response. */
  written: number;
  stream: boolean;
  priority: number;
  model: string;
  timer?: NodeJS.Timeout;
  ended: boolean;
}

/**
 * Tokens that every stand-in engine generates for a prompt, which is the JSON
 * text of the request's `messages`.
 */
export function expectedTokens(prompt: string, count: number): string[] {
  const hash = hashText(prompt).slice(0, 8);
  return Array.from({ length: count }, (_, index) => `${hash}.${index} `);
}

/** Starts a stand-in engine on the loopback interface. */
export async function createStandInEngine(
  initial: EngineOptions = {},
): Promise<StandInEngine> {
  const options = {
    capacity: 8,
    warmUpCapacity: Infinity,
    warmUpCalls: 0,
    firstTokenMs: 5,
    tokenMs: 2,
    reportLagMs: 0,
    now: () => performance.now(),
    ...initial,
  };
  const counts: EngineCounts = {
    runs: new Map(),
    started: 0,
    completed: 0,
    cancelled: 0,
    crashes: 0,
    peak: 0,
    warmUpPeak: 0,
    tokensDelivered: 0,
    tokensWasted: 0,
  };
  const calls = new Map<string, EngineCall>();
  const queue: EngineCall[] = [];
  const running = new Set<EngineCall>();
  const reports: { atMs: number; running: number; waiting: number }[] = [];
  let instance = 1;
  let finishedSinceWarmUpStart = 0;

  function isWarmingUp(): boolean {
    return finishedSinceWarmUpStart < options.warmUpCalls;
  }

  function recordLoad(): void {
    const atMs = options.now();
    reports.push({ atMs, running: running.size, waiting: queue.length });
    while (
      reports.length > 1 && reports[1].atMs <= atMs - options.reportLagMs
    ) {
      reports.shift();
    }
  }

  function startNext(): void {
    while (running.size < options.capacity && queue.length > 0) {
      queue.sort((left, right) => left.priority - right.priority);
      start(queue.shift()!);
    }
    recordLoad();
  }

  function start(call: EngineCall): void {
    running.add(call);
    counts.started++;
    counts.runs.set(call.requestId, (counts.runs.get(call.requestId) ?? 0) + 1);
    counts.peak = Math.max(counts.peak, running.size);
    if (isWarmingUp()) {
      counts.warmUpPeak = Math.max(counts.warmUpPeak, running.size);
      if (running.size > options.warmUpCapacity) return crash();
    }
    // From the due time of the token before, so that late timers do not add up.
    let dueMs = options.now();
    function scheduleToken(delayMs: number): void {
      dueMs += delayMs;
      waitUntilDue();
    }
    function waitUntilDue(): void {
      const leftMs = dueMs - options.now();
      if (call.ended) return;
      call.timer = setTimeout(
        () => options.now() < dueMs ? waitUntilDue() : generateToken(),
        Math.max(0, leftMs),
      );
    }
    scheduleToken(options.firstTokenMs);
    function generateToken(): void {
      if (call.ended) return;
      call.generatedTokens++;
      writeTokens(call);
      if (call.generatedTokens >= call.tokens.length) return finish(call);
      scheduleToken(options.tokenMs);
    }
  }

  function writeTokens(call: EngineCall): void {
    if (!call.stream || !call.response) return;
    let text = "";
    for (; call.written < call.generatedTokens; call.written++) {
      text += formatChunk(call, call.written);
    }
    if (text) call.response.write(text);
  }

  function finish(call: EngineCall): void {
    call.ended = true;
    running.delete(call);
    finishedSinceWarmUpStart++;
    if (!call.response) {
      // Keeps the answer for a resume. If none comes, its tokens count as
      // wasted.
      setTimeout(() => discard(call), RESUME_WINDOW_MS).unref();
    } else {
      endResponse(call);
    }
    startNext();
  }

  function endResponse(call: EngineCall): void {
    counts.completed++;
    counts.tokensDelivered += call.tokens.length;
    calls.delete(call.id);
    if (call.stream) {
      const last = formatChunk(call, call.tokens.length);
      call.response!.end(`${last}data: [DONE]\n\n`);
    } else call.response!.end(formatCompletion(call));
  }

  function discard(call: EngineCall): void {
    if (calls.delete(call.id)) counts.tokensWasted += call.generatedTokens;
  }

  function cancel(call: EngineCall): void {
    if (!calls.has(call.id)) return;
    clearTimeout(call.timer);
    call.ended = true;
    counts.cancelled++;
    discard(call);
    running.delete(call);
    const index = queue.indexOf(call);
    if (index >= 0) queue.splice(index, 1);
    call.response?.destroy();
    startNext();
  }

  function crash(): void {
    counts.crashes++;
    instance++;
    finishedSinceWarmUpStart = 0;
    for (const call of [...calls.values()]) {
      clearTimeout(call.timer);
      call.ended = true;
      discard(call);
      call.response?.destroy();
    }
    running.clear();
    queue.length = 0;
    recordLoad();
  }

  /**
   * Sends the call's tokens to this response. If it closes and no other
   * response replaces it within `RESUME_WINDOW_MS`, the call is cancelled.
   */
  function attachResponse(call: EngineCall, response: ServerResponse): void {
    call.response = response;
    response.writeHead(200, {
      "content-type": call.stream ? "text/event-stream" : "application/json",
    });
    response.flushHeaders();
    response.once("close", () => {
      if (call.response !== response || response.writableFinished) return;
      call.response = undefined;
      if (call.ended) return;
      // The client may reconnect and resume the stream.
      setTimeout(() => {
        if (!call.response) cancel(call);
      }, RESUME_WINDOW_MS).unref();
    });
  }

  async function handleCompletion(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const chunk of request) text += chunk;
    const body = JSON.parse(text);
    const prompt = JSON.stringify(body.messages);
    const call: EngineCall = {
      id: String(request.headers["x-attempt-id"] ?? `call-${Math.random()}`),
      requestId: String(request.headers["x-request-id"] ?? ""),
      tokens: expectedTokens(prompt, body.max_tokens ?? 16),
      generatedTokens: 0,
      response: undefined,
      written: 0,
      stream: body.stream === true,
      priority: Number(request.headers["x-priority"] ?? 4),
      model: body.model,
      ended: false,
    };
    calls.set(call.id, call);
    if (prompt.includes(CRASH_PROMPT_MARKER)) {
      counts.started++;
      counts.runs.set(
        call.requestId,
        (counts.runs.get(call.requestId) ?? 0) + 1,
      );
      call.response = response;
      return crash();
    }
    attachResponse(call, response);
    queue.push(call);
    startNext();
  }

  function resumeStream(
    id: string,
    from: number,
    response: ServerResponse,
  ): void {
    const call = calls.get(id);
    if (!call || !call.stream) return void response.writeHead(404).end();
    const previousResponse = call.response;
    attachResponse(call, response);
    previousResponse?.destroy();
    call.written = from;
    writeTokens(call);
    if (call.ended) endResponse(call);
  }

  function sendLoad(response: ServerResponse): void {
    recordLoad();
    const report = reports[0];
    const ageMs = options.now() - report.atMs;
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      running: report.running,
      waiting: report.waiting,
      ageMs: reports.length > 1 ? Math.min(ageMs, options.reportLagMs) : 0,
      instance: String(instance),
    }));
  }

  const server = createServer((request, response) => {
    response.on("error", () => {});
    const url = new URL(request.url ?? "/", "http://engine");
    if (url.pathname === "/load") return sendLoad(response);
    if (url.pathname === "/v1/chat/completions") {
      return void handleCompletion(request, response).catch(() =>
        response.destroy()
      );
    }
    const id = decodeURIComponent(url.pathname.split("/")[3] ?? "");
    if (request.method === "DELETE") {
      const call = calls.get(id);
      if (call) cancel(call);
      return void response.writeHead(call ? 204 : 404).end();
    }
    if (url.pathname.startsWith("/v1/streams/")) {
      return resumeStream(
        id,
        Number(url.searchParams.get("from") ?? 0),
        response,
      );
    }
    response.writeHead(404).end();
  });
  server.listen(initial.port ?? 0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    port,
    counts,
    running: () => running.size,
    crash,
    restartWarmUp: () => void (finishedSinceWarmUpStart = 0),
    setOptions: (next) => void Object.assign(options, next),
    breakConnections() {
      for (const call of calls.values()) call.response?.destroy();
    },
    async close() {
      for (const call of calls.values()) clearTimeout(call.timer);
      server.closeAllConnections();
      server.close();
      await once(server, "close");
    },
  };
}

/**
 * How long a call without a connection is kept for a resume, in milliseconds.
 * A call that is still running is then cancelled.
 */
const RESUME_WINDOW_MS = 2000;

/** Formats a token, or after the last one the chunk with the finish reason. */
function formatChunk(call: EngineCall, index: number): string {
  const isLast = index === call.tokens.length;
  const choice = isLast
    ? { index: 0, delta: {}, finish_reason: "stop" }
    : { index: 0, delta: { content: call.tokens[index] } };
  const chunk = {
    id: call.id,
    object: "chat.completion.chunk",
    model: call.model,
    choices: [choice],
  };
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

function formatCompletion(call: EngineCall): string {
  const content = call.tokens.join("");
  return JSON.stringify({
    id: call.id,
    object: "chat.completion",
    model: call.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: "stop",
    }],
    usage: { completion_tokens: call.tokens.length },
  });
}
