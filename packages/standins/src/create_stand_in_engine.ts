import { hashText } from "@rosemarytiller/shared/rendezvous";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Marks a prompt that crashes the engine when its call starts. */
export const CRASH_MARK = "crash-the-engine";

/** How a stand-in engine behaves. */
export interface EngineOptions {
  port?: number;
  /** Calls that run at once; others wait by priority. */
  capacity?: number;
  /** Calls that a cold engine bears; one more crashes it. */
  coldCapacity?: number;
  /** Calls that must end before the engine is warm. */
  warmAfter?: number;
  /** Time to the first token in milliseconds. */
  firstTokenMs?: number;
  /** Time between two tokens in milliseconds. */
  tokenMs?: number;
  /** Age of the numbers in load reports, in milliseconds. */
  reportLagMs?: number;
}

/** What a stand-in engine has counted. */
export interface EngineCounts {
  /** Calls started, by request. */
  runs: Map<string, number>;
  started: number;
  completed: number;
  cancelled: number;
  crashes: number;
  /** Most calls in progress at once since the last crash or reset. */
  peak: number;
  /** Most calls in progress at once while cold. */
  coldPeak: number;
  /** Tokens sent to calls that ended whole, and to all others. */
  tokensDelivered: number;
  tokensWasted: number;
}

/** A stand-in model engine. */
export interface StandInEngine {
  readonly url: string;
  readonly port: number;
  readonly counts: EngineCounts;
  running(): number;
  /** Breaks all calls and makes the engine cold. */
  crash(): void;
  /** Makes the engine cold without a word. */
  cool(): void;
  /** Changes behaviour from now on. */
  set(options: Partial<EngineOptions>): void;
  /** Breaks the connections of all calls, whose streams can be resumed. */
  breakConnections(): void;
  close(): Promise<void>;
}

interface EngineCall {
  id: string;
  request: string;
  tokens: string[];
  /** Tokens generated so far. */
  made: number;
  response: ServerResponse | undefined;
  /** Tokens written to the present response. */
  written: number;
  stream: boolean;
  priority: number;
  model: string;
  timer?: NodeJS.Timeout;
  ended: boolean;
}

/** Tokens that an engine generates for a prompt. */
export function expectedTokens(prompt: string, count: number): string[] {
  const hash = hashText(prompt).slice(0, 8);
  return Array.from({ length: count }, (_, index) => `${hash}.${index} `);
}

/** Starts a stand-in engine. */
export async function createStandInEngine(
  initial: EngineOptions = {},
): Promise<StandInEngine> {
  const options = {
    capacity: 8,
    coldCapacity: Infinity,
    warmAfter: 0,
    firstTokenMs: 5,
    tokenMs: 2,
    reportLagMs: 0,
    ...initial,
  };
  const counts: EngineCounts = {
    runs: new Map(),
    started: 0,
    completed: 0,
    cancelled: 0,
    crashes: 0,
    peak: 0,
    coldPeak: 0,
    tokensDelivered: 0,
    tokensWasted: 0,
  };
  const calls = new Map<string, EngineCall>();
  const queue: EngineCall[] = [];
  const running = new Set<EngineCall>();
  const reports: { atMs: number; running: number; waiting: number }[] = [];
  let instance = 1;
  let warmth = 0;

  function isCold(): boolean {
    return warmth < options.warmAfter;
  }

  function noteLoad(): void {
    const atMs = performance.now();
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
    noteLoad();
  }

  function start(call: EngineCall): void {
    running.add(call);
    counts.started++;
    counts.runs.set(call.request, (counts.runs.get(call.request) ?? 0) + 1);
    counts.peak = Math.max(counts.peak, running.size);
    if (isCold()) {
      counts.coldPeak = Math.max(counts.coldPeak, running.size);
      if (running.size > options.coldCapacity) return crash();
    }
    call.timer = setTimeout(step, options.firstTokenMs);
    function step(): void {
      if (call.ended) return;
      call.made++;
      writeTokens(call);
      if (call.made >= call.tokens.length) return finish(call);
      call.timer = setTimeout(step, options.tokenMs);
    }
  }

  function writeTokens(call: EngineCall): void {
    if (!call.stream || !call.response) return;
    let text = "";
    for (; call.written < call.made; call.written++) {
      text += formatChunk(call, call.written);
    }
    if (text) call.response.write(text);
  }

  function finish(call: EngineCall): void {
    call.ended = true;
    running.delete(call);
    warmth++;
    if (!call.response) {
      // Kept for a resume; whoever does not come back wastes it.
      setTimeout(() => forget(call), RESUME_KEEP_MS).unref();
    } else {
      endResponse(call);
    }
    startNext();
  }

  function endResponse(call: EngineCall): void {
    counts.completed++;
    counts.tokensDelivered += call.tokens.length;
    calls.delete(call.id);
    if (call.stream) call.response!.end("data: [DONE]\n\n");
    else call.response!.end(formatWhole(call));
  }

  function forget(call: EngineCall): void {
    if (calls.delete(call.id)) counts.tokensWasted += call.made;
  }

  function cancel(call: EngineCall): void {
    if (!calls.has(call.id)) return;
    clearTimeout(call.timer);
    call.ended = true;
    counts.cancelled++;
    forget(call);
    running.delete(call);
    const place = queue.indexOf(call);
    if (place >= 0) queue.splice(place, 1);
    call.response?.destroy();
    startNext();
  }

  function crash(): void {
    counts.crashes++;
    instance++;
    warmth = 0;
    for (const call of [...calls.values()]) {
      clearTimeout(call.timer);
      call.ended = true;
      forget(call);
      call.response?.destroy();
    }
    running.clear();
    queue.length = 0;
    noteLoad();
  }

  /** Ties a call to the response that its tokens go to. */
  function attach(call: EngineCall, response: ServerResponse): void {
    call.response = response;
    response.writeHead(200, {
      "content-type": call.stream ? "text/event-stream" : "application/json",
    });
    response.flushHeaders();
    response.once("close", () => {
      if (call.response !== response || response.writableFinished) return;
      call.response = undefined;
      if (call.ended) return;
      // A broken connection may come back for the rest.
      setTimeout(() => {
        if (!call.response) cancel(call);
      }, RESUME_KEEP_MS).unref();
    });
  }

  async function completions(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const chunk of request) text += chunk;
    const body = JSON.parse(text);
    const prompt = JSON.stringify(body.messages);
    const call: EngineCall = {
      id: String(request.headers["x-attempt-id"] ?? `call-${Math.random()}`),
      request: String(request.headers["x-request-id"] ?? ""),
      tokens: expectedTokens(prompt, body.max_tokens ?? 16),
      made: 0,
      response: undefined,
      written: 0,
      stream: body.stream === true,
      priority: Number(request.headers["x-priority"] ?? 4),
      model: body.model,
      ended: false,
    };
    calls.set(call.id, call);
    if (prompt.includes(CRASH_MARK)) {
      counts.started++;
      counts.runs.set(call.request, (counts.runs.get(call.request) ?? 0) + 1);
      call.response = response;
      return crash();
    }
    attach(call, response);
    queue.push(call);
    startNext();
  }

  function resume(
    id: string,
    from: number,
    response: ServerResponse,
  ): void {
    const call = calls.get(id);
    if (!call || !call.stream) return void response.writeHead(404).end();
    const former = call.response;
    attach(call, response);
    former?.destroy();
    call.written = from;
    writeTokens(call);
    if (call.ended) endResponse(call);
  }

  function load(response: ServerResponse): void {
    noteLoad();
    const report = reports[0];
    const ageMs = performance.now() - report.atMs;
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
    if (url.pathname === "/load") return load(response);
    if (url.pathname === "/v1/chat/completions") {
      return void completions(request, response).catch(() =>
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
      return resume(id, Number(url.searchParams.get("from") ?? 0), response);
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
    cool: () => void (warmth = 0),
    set: (next) => void Object.assign(options, next),
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

/** How long a call without a reader goes on, in milliseconds. */
const RESUME_KEEP_MS = 2000;

function formatChunk(call: EngineCall, index: number): string {
  const chunk = {
    id: call.id,
    object: "chat.completion.chunk",
    model: call.model,
    choices: [{ index: 0, delta: { content: call.tokens[index] } }],
  };
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

function formatWhole(call: EngineCall): string {
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
