import type { Buffer } from "node:buffer";
import { Agent, request } from "undici";
import type { PlannedRequest } from "./generate_load.ts";

/** Events of a complete stream after its tokens: finish reason and end mark. */
const EVENTS_AFTER_TOKENS = 2;

/** Result of one request as its caller sees it. */
export interface CallerResult {
  planned: PlannedRequest;
  /** HTTP status; 0 if the request was aborted or failed before a response. */
  status: number;
  /** Whether all tokens and the end mark were received. */
  isComplete: boolean;
  /** Time to the first token; -1 if none was received. */
  firstTokenMs: number;
  /** Mean time between tokens; only valid for complete answers. */
  betweenTokensMs: number;
  totalMs: number;
}

/** Addresses, API keys and timeouts of simulated callers. */
export interface CallerOptions {
  /** Base URLs, used in round-robin order as by a load balancer. */
  urls: string[];
  /** API key of a client account. */
  apiKeyOf(client: string): string;
  /** Time after which callers of a class abort a request without a token. */
  firstTokenTimeoutMs(className: string): number;
}

/**
 * Sends each planned request at its arrival time and waits for all to end.
 * Failed requests are results too; they do not reject.
 */
export async function runCallers(
  planned: readonly PlannedRequest[],
  options: CallerOptions,
): Promise<CallerResult[]> {
  const dispatcher = new Agent({ pipelining: 1, connections: null });
  const startMs = performance.now();
  const running: Promise<CallerResult>[] = [];
  for (const [index, next] of planned.entries()) {
    const waitMs = startMs + next.atMs - performance.now();
    // Timers have a resolution of 1 ms.
    if (waitMs > 1) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    const url = options.urls[index % options.urls.length];
    running.push(sendRequest(url, next, { ...options, dispatcher }));
  }
  const results = await Promise.all(running);
  await dispatcher.destroy();
  return results;
}

async function sendRequest(
  url: string,
  planned: PlannedRequest,
  options: CallerOptions & { dispatcher: Agent },
): Promise<CallerResult> {
  const startedMs = performance.now();
  const controller = new AbortController();
  const firstTokenTimeout = setTimeout(
    () => controller.abort(),
    options.firstTokenTimeoutMs(planned.className),
  );
  let status = 0;
  let events = 0;
  let isComplete = false;
  let firstTokenMs = -1;
  try {
    const response = await request(`${url}/v1/chat/completions`, {
      dispatcher: options.dispatcher,
      method: "POST",
      signal: controller.signal,
      headers: {
        authorization: `Bearer ${options.apiKeyOf(planned.client)}`,
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
    status = response.statusCode;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      if (status !== 200) continue;
      const text = chunk.toString();
      const count = text.split("data: ").length - 1;
      if (count > 0 && firstTokenMs < 0) {
        firstTokenMs = performance.now() - startedMs;
        clearTimeout(firstTokenTimeout);
      }
      events += count;
      if (text.includes("data: [DONE]")) isComplete = true;
    }
  } catch {
    isComplete = false;
  }
  clearTimeout(firstTokenTimeout);
  const totalMs = performance.now() - startedMs;
  const gaps = Math.max(1, events - EVENTS_AFTER_TOKENS - 1);
  const betweenTokensMs = (totalMs - firstTokenMs) / gaps;
  return {
    planned,
    status,
    isComplete: isComplete &&
      events === planned.tokens + EVENTS_AFTER_TOKENS,
    firstTokenMs,
    betweenTokensMs,
    totalMs,
  };
}
