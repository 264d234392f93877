import type { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import type { PlannedRequest } from "./generate_load.ts";

/** What a caller saw of one request. */
export interface CallerResult {
  planned: PlannedRequest;
  /** HTTP status; 0 if the caller went away before an answer. */
  status: number;
  /** Whether the whole answer came. */
  whole: boolean;
  /** Time to the first token; -1 if none came. */
  firstTokenMs: number;
  /** Mean time between tokens. */
  betweenTokensMs: number;
  totalMs: number;
}

/** How callers behave. */
export interface CallerOptions {
  /** Base URLs, used in turn as a balancer would. */
  urls: string[];
  /** API key of a client. */
  keyOf(client: string): string;
  /** Longest wait of a class's callers for the first token. */
  patienceMs(className: string): number;
}

/** Sends planned requests at their times and waits for every end. */
export async function runCallers(
  planned: readonly PlannedRequest[],
  options: CallerOptions,
): Promise<CallerResult[]> {
  const dispatcher = new Agent({ pipelining: 1, connections: null });
  const startMs = performance.now();
  const running: Promise<CallerResult>[] = [];
  for (const [index, next] of planned.entries()) {
    const waitMs = startMs + next.atMs - performance.now();
    if (waitMs > 1) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    const url = options.urls[index % options.urls.length];
    running.push(callOnce(url, next, { ...options, dispatcher }));
  }
  const results = await Promise.all(running);
  await dispatcher.destroy();
  return results;
}

async function callOnce(
  url: string,
  planned: PlannedRequest,
  options: CallerOptions & { dispatcher: Agent },
): Promise<CallerResult> {
  const startedMs = performance.now();
  const controller = new AbortController();
  const patience = setTimeout(
    () => controller.abort(),
    options.patienceMs(planned.className),
  );
  let status = 0;
  let events = 0;
  let whole = false;
  let firstTokenMs = -1;
  try {
    const answer = await request(`${url}/v1/chat/completions`, {
      dispatcher: options.dispatcher,
      method: "POST",
      signal: controller.signal,
      headers: {
        authorization: `Bearer ${options.keyOf(planned.client)}`,
        "content-type": "application/json",
        "x-class": planned.className,
      },
      body: JSON.stringify({
        model: "small",
        stream: true,
        max_tokens: planned.tokens,
        messages: [{ role: "user", content: planned.prompt }],
      }),
    });
    status = answer.statusCode;
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      if (status !== 200) continue;
      const text = chunk.toString();
      const count = text.split("data: ").length - 1;
      if (count > 0 && firstTokenMs < 0) {
        firstTokenMs = performance.now() - startedMs;
        clearTimeout(patience);
      }
      events += count;
      if (text.includes("data: [DONE]")) whole = true;
    }
  } catch {
    whole = false;
  }
  clearTimeout(patience);
  const totalMs = performance.now() - startedMs;
  const gaps = Math.max(1, events - 2);
  const betweenTokensMs = (totalMs - firstTokenMs) / gaps;
  return {
    planned,
    status,
    whole: whole && events === planned.tokens + 1,
    firstTokenMs,
    betweenTokensMs,
    totalMs,
  };
}
