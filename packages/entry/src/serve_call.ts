import { resolvePools } from "@rosemarytiller/document";
import type { Metrics } from "@rosemarytiller/metrics";
import type { FleetView } from "@rosemarytiller/platform";
import type { Settings } from "@rosemarytiller/settings";
import {
  CallOutcome,
  type Clock,
  createId,
  ErrorKind,
  EventKind,
  TillerError,
  type UpstreamKind,
} from "@rosemarytiller/shared";
import type { Timeline } from "@rosemarytiller/timeline";
import type { ServerResponse } from "node:http";
import type { AttemptResult, AttemptRunner } from "./attempt.ts";
import type { Call } from "./call.ts";
import { countAttempt } from "./count_attempt.ts";
import type { Permit, PermitClient } from "./create_permit_client.ts";

/** Most calls to upstreams for one request. */
export const MAX_ATTEMPTS = 3;

/** What is needed to serve a call. */
export interface ServeOptions {
  view: FleetView;
  settings: Settings;
  clock: Clock;
  timeline: Timeline;
  metrics: Metrics;
  permits: PermitClient;
  runners: Record<UpstreamKind, AttemptRunner>;
}

/** Outcomes after which nothing of the request has run. */
const UNRUN_OUTCOMES = new Set([
  CallOutcome.ConnectFailed,
  CallOutcome.Refused,
  CallOutcome.Unused,
]);

/** Serves a call to its end; throws the error that the caller must see. */
export async function serveCall(
  call: Call,
  response: ServerResponse,
  options: ServeOptions,
): Promise<void> {
  const { clock } = options;
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  const cancelTimer = clock.after(call.requestClass.totalMs, () => {
    controller.abort(
      new TillerError(ErrorKind.DeadlineExceeded, "the call took too long"),
    );
  });
  const avoid: string[] = [];
  try {
    for (let count = 1;; count++) {
      const permit = await askAnywhere(call, options, {
        avoid,
        retry: count > 1,
        signal: controller.signal,
      });
      const result = await runAttempt(call, permit, response, {
        ...options,
        signal: controller.signal,
      });
      if (!result.error) return;
      const final = count >= MAX_ATTEMPTS || !mayRetry(call, result, response);
      if (final) throw result.error;
      avoid.push(permit.upstream);
    }
  } finally {
    cancelTimer();
  }
}

/** Asks the allowed pools in turn, nearest first. */
async function askAnywhere(
  call: Call,
  options: ServeOptions,
  ask: { avoid: string[]; retry: boolean; signal: AbortSignal },
): Promise<Permit> {
  const pools = resolvePools(call.document, call.requestClass, {
    target: call.target,
    from: options.settings.dataCentre,
  });
  let refusal = new TillerError(
    ErrorKind.NoUpstream,
    `no data centre in service may serve "${call.target}"`,
  );
  for (const pool of pools) {
    try {
      return await options.permits.ask(call, pool, ask);
    } catch (error) {
      if (!(error instanceof TillerError)) throw error;
      refusal = error;
    }
  }
  throw refusal;
}

async function runAttempt(
  call: Call,
  permit: Permit,
  response: ServerResponse,
  options: ServeOptions & { signal: AbortSignal },
): Promise<AttemptResult> {
  const { timeline, permits, metrics, view, signal } = options;
  const attempt = createId("attempt");
  const { upstream } = permit;
  const document = view.documentOf(call.document.service) ?? call.document;
  const address = document.upstreams[upstream]?.address ??
    call.document.upstreams[upstream].address;
  timeline.record(EventKind.AttemptStarted, call.request, {
    attempt,
    permit: permit.permit,
    upstream,
    class: call.requestClass.name,
    tier: call.requestClass.tier,
  });
  const startedMs = options.clock.now();
  const result = await options.runners[call.kind]({
    attempt,
    call,
    address,
    response,
    signal,
  });
  const { outcome, firstTokenMs, totalMs, tokens } = result;
  timeline.record(EventKind.AttemptEnded, call.request, {
    attempt,
    permit: permit.permit,
    outcome,
    firstTokenMs: Math.round(firstTokenMs),
    totalMs: Math.round(totalMs),
    tokens,
  });
  permits.finish(permit, { outcome, firstTokenMs, totalMs, tokens });
  countAttempt(metrics, call, { result, startedMs });
  return result;
}

function mayRetry(
  call: Call,
  result: AttemptResult,
  response: ServerResponse,
): boolean {
  if (response.headersSent || response.destroyed) return false;
  if (UNRUN_OUTCOMES.has(result.outcome)) return true;
  if (result.outcome !== CallOutcome.Crashed) return false;
  return call.requestClass.idempotent;
}
