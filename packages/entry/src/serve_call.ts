import type { Claim } from "@rosemarytiller/claims";
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
import { askAnywhere } from "./ask_anywhere.ts";
import type { AttemptResult, AttemptRunner } from "./attempt.ts";
import type { Call } from "./call.ts";
import { countAttempt } from "./count_attempt.ts";
import type { ClaimClient } from "./create_claim_client.ts";
import type { Permit, PermitClient } from "./create_permit_client.ts";
import { createRunRecord, type RunRecord } from "./create_run_record.ts";
import { finalError } from "./final_error.ts";
import { isRepeatable } from "./is_repeatable.ts";

/** Least time that a request may wait again after its call broke. */
export const RERUN_WAIT_MS = 10_000;
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
  claims: ClaimClient;
  runners: Record<UpstreamKind, AttemptRunner>;
}

interface ServeState extends ServeOptions {
  signal: AbortSignal;
  run: RunRecord;
  claim: Claim | undefined;
}

/** Outcomes after which nothing of the attempt has run. */
const UNRUN_OUTCOMES = new Set([
  CallOutcome.ConnectFailed,
  CallOutcome.Refused,
]);
/** Outcomes after which a repeatable call may run again. */
const RERUN_OUTCOMES = new Set([CallOutcome.Crashed, CallOutcome.TimedOut]);

/** Serves a call to its end; throws the error that the caller must see. */
export async function serveCall(
  call: Call,
  response: ServerResponse,
  options: ServeOptions,
): Promise<void> {
  const run = createRunRecord();
  const watch = watchCall(call, response, options.clock);
  const { signal } = watch;
  try {
    const claim = await options.claims.claim(call);
    try {
      const state = { ...options, signal, run, claim };
      await runUntilAnswered(call, response, state);
    } finally {
      claim?.finish(run.state());
    }
  } catch (cause) {
    throw finalError(cause, { call, run, signal });
  } finally {
    watch.close();
  }
}

/** Aborts when the caller has gone or the time of the class is over. */
function watchCall(
  call: Call,
  response: ServerResponse,
  clock: Clock,
): { signal: AbortSignal; close(): void } {
  const controller = new AbortController();
  const abort = (kind: ErrorKind, detail: string) =>
    controller.abort(new TillerError(kind, detail));
  function onClose(): void {
    if (response.writableFinished) return;
    controller.abort();
  }
  if (response.destroyed) onClose();
  response.once("close", onClose);
  const cancelTimer = clock.after(
    call.requestClass.totalMs,
    () => abort(ErrorKind.DeadlineExceeded, "the call took too long"),
  );
  return {
    signal: controller.signal,
    close() {
      cancelTimer();
      response.off("close", onClose);
    },
  };
}

async function runUntilAnswered(
  call: Call,
  response: ServerResponse,
  state: ServeState,
): Promise<void> {
  const avoid: string[] = [];
  const { queueMs } = call.requestClass;
  let waitUntilMs = call.arrivedMs + queueMs;
  for (let count = 1;; count++) {
    const permit = await askAnywhere(call, {
      ...state,
      avoid,
      retry: count > 1,
      waitUntilMs,
    });
    const result = await runAttempt(call, permit, { ...state, response });
    if (!result.error) return;
    const final = count >= MAX_ATTEMPTS || state.signal.aborted ||
      !mayRetry(call, result, response);
    if (final) throw result.error;
    avoid.push(permit.upstream);
    if (RERUN_OUTCOMES.has(result.outcome)) {
      waitUntilMs = state.clock.now() + Math.max(queueMs, RERUN_WAIT_MS);
    }
  }
}

async function runAttempt(
  call: Call,
  permit: Permit,
  state: ServeState & { response: ServerResponse },
): Promise<AttemptResult> {
  const { timeline, permits, metrics, run, signal, response } = state;
  const attempt = createId("attempt");
  const { upstream } = permit;
  timeline.record(EventKind.AttemptStarted, call.request, {
    attempt,
    permit: permit.permit,
    upstream,
    class: call.requestClass.name,
    tier: call.requestClass.tier,
  });
  const startedMs = state.clock.now();
  let result = UNUSED_RESULT;
  try {
    result = await state.runners[call.kind]({
      attempt,
      call,
      address: addressOf(call, upstream, state.view),
      response,
      signal,
      beforeSend() {
        checkClaim(state.claim);
        run.noteSent();
      },
      noteResumed: (from) =>
        timeline.record(EventKind.AttemptResumed, call.request, {
          attempt,
          upstream,
          from,
        }),
    });
    if (result.outcome === CallOutcome.Refused) run.noteRefused();
    if (result.outcome === CallOutcome.Complete) run.noteRan();
    return result;
  } finally {
    const { outcome, firstTokenMs, totalMs, tokens } = result;
    timeline.record(EventKind.AttemptEnded, call.request, {
      attempt,
      permit: permit.permit,
      outcome,
      run: run.state(),
      firstTokenMs: Math.round(firstTokenMs),
      totalMs: Math.round(totalMs),
      tokens,
    });
    permits.finish(permit, { outcome, firstTokenMs, totalMs, tokens });
    countAttempt(metrics, call, { result, startedMs });
  }
}

const UNUSED_RESULT: AttemptResult = {
  outcome: CallOutcome.Unused,
  firstTokenMs: -1,
  totalMs: 0,
  tokens: 0,
};

/** A process that wakes up late must not send under an old claim. */
function checkClaim(claim: Claim | undefined): void {
  if (!claim || claim.isValid()) return;
  throw new TillerError(
    ErrorKind.ClaimUnavailable,
    "the claim on the idempotency key ran out before the call began",
  );
}

function addressOf(call: Call, upstream: string, view: FleetView): string {
  const document = view.documentOf(call.document.service) ?? call.document;
  const entry = document.upstreams[upstream] ??
    call.document.upstreams[upstream];
  if (entry) return entry.address;
  throw new TillerError(
    ErrorKind.NoUpstream,
    `upstream "${upstream}" is no longer in the document`,
  );
}

function mayRetry(
  call: Call,
  result: AttemptResult,
  response: ServerResponse,
): boolean {
  if (response.headersSent || response.destroyed) return false;
  if (UNRUN_OUTCOMES.has(result.outcome)) return true;
  return RERUN_OUTCOMES.has(result.outcome) && isRepeatable(call);
}
