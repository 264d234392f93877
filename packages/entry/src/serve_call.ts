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
import { acquirePermit } from "./acquire_permit.ts";
import type { AttemptResult, AttemptRunner } from "./attempt.ts";
import type { Call } from "./call.ts";
import { countAttempt } from "./count_attempt.ts";
import type { ClaimClient } from "./create_claim_client.ts";
import type { Permit, PermitClient } from "./create_permit_client.ts";
import { createRunRecord, type RunRecord } from "./create_run_record.ts";
import { finalError } from "./final_error.ts";
import { isRepeatable } from "./is_repeatable.ts";

/**
 * Minimum time that a call may wait in the queue again after a crashed or
 * timed-out attempt, or after its permit expired before it was sent.
 */
export const MIN_RETRY_QUEUE_MS = 10_000;
/** Maximum number of attempts for one request. */
export const MAX_ATTEMPTS = 3;

/** Dependencies of `serveCall`. */
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

interface ServeContext extends ServeOptions {
  signal: AbortSignal;
  run: RunRecord;
  claim: Claim | undefined;
}

/** Outcomes after which the upstream has not run any part of the attempt. */
const NOT_RUN_OUTCOMES = new Set([
  CallOutcome.ConnectFailed,
  CallOutcome.Refused,
]);
/**
 * Outcomes after which the upstream may have run the call; it is retried only if
 * it is repeatable.
 */
const MAY_HAVE_RUN_OUTCOMES = new Set([
  CallOutcome.Crashed,
  CallOutcome.TimedOut,
]);

/**
 * Serves a call until its response is complete. Throws the error that the
 * caller must receive; the response headers may have been sent by then.
 */
export async function serveCall(
  call: Call,
  response: ServerResponse,
  options: ServeOptions,
): Promise<void> {
  const run = createRunRecord();
  const callSignal = createCallSignal(call, response, options.clock);
  const { signal } = callSignal;
  try {
    const claim = await options.claims.claim(call);
    try {
      const context = { ...options, signal, run, claim };
      await runWithRetries(call, response, context);
    } finally {
      claim?.finish(run.state());
    }
  } catch (cause) {
    throw finalError(cause, { call, run, signal });
  } finally {
    callSignal.close();
  }
}

/**
 * Creates a signal that is aborted when the caller disconnects, or with a
 * `TillerError` as its reason when the class's `totalMs` have passed.
 */
function createCallSignal(
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
    () => abort(ErrorKind.DeadlineExceeded, describeTimeout(call)),
  );
  return {
    signal: controller.signal,
    close() {
      cancelTimer();
      response.off("close", onClose);
    },
  };
}

function describeTimeout({ requestClass }: Call): string {
  const { name, totalMs } = requestClass;
  return `the response was not complete after ${totalMs} ms, the limit of ` +
    `class "${name}"`;
}

async function runWithRetries(
  call: Call,
  response: ServerResponse,
  context: ServeContext,
): Promise<void> {
  const avoid: string[] = [];
  const { queueMs } = call.requestClass;
  let waitUntilMs = call.arrivedMs + queueMs;
  const minRetryQueueMs = Math.max(queueMs, MIN_RETRY_QUEUE_MS);
  let count = 1;
  let hadPermit = false;
  while (true) {
    const permit = await acquirePermit(call, {
      ...context,
      avoid,
      retry: hadPermit,
      waitUntilMs,
    });
    const result = await runAttempt(call, permit, { ...context, response });
    if (!result.error) return;
    hadPermit = true;
    // Nothing was sent, so that this does not count as an attempt. The call has
    // waited its turn already and isn't refused for the time that this took.
    if (result.error instanceof PermitExpiredError) {
      waitUntilMs = context.clock.now() + minRetryQueueMs;
      continue;
    }
    const isFinal = count >= MAX_ATTEMPTS || context.signal.aborted ||
      !isRetryable(call, result, response);
    if (isFinal) throw result.error;
    count++;
    avoid.push(permit.upstream);
    if (MAY_HAVE_RUN_OUTCOMES.has(result.outcome)) {
      waitUntilMs = context.clock.now() + minRetryQueueMs;
    }
  }
}

async function runAttempt(
  call: Call,
  permit: Permit,
  context: ServeContext & { response: ServerResponse },
): Promise<AttemptResult> {
  const { timeline, permits, metrics, run, signal, response } = context;
  const attempt = createId("attempt");
  const { upstream } = permit;
  timeline.record(EventKind.AttemptStarted, call.requestId, {
    attempt,
    permit: permit.permit,
    upstream,
    class: call.requestClass.name,
    tier: call.requestClass.tier,
  });
  const startedMs = context.clock.now();
  let result = UNUSED_RESULT;
  try {
    result = await context.runners[call.kind]({
      id: attempt,
      call,
      address: addressOf(call, upstream, context.view),
      response,
      signal,
      beforeSend() {
        checkClaim(context.claim);
        if (context.clock.now() >= permit.validUntilMs) {
          throw new PermitExpiredError();
        }
        run.noteSent();
      },
      onResumed: (from) =>
        timeline.record(EventKind.AttemptResumed, call.requestId, {
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
    timeline.record(EventKind.AttemptEnded, call.requestId, {
      attempt,
      permit: permit.permit,
      outcome,
      run: run.state(),
      firstTokenMs: Math.round(firstTokenMs),
      totalMs: Math.round(totalMs),
      tokens,
    });
    permits.release(permit, { outcome, firstTokenMs, totalMs, tokens });
    countAttempt(metrics, call, { result, startedMs });
  }
}

const UNUSED_RESULT: AttemptResult = {
  outcome: CallOutcome.Unused,
  firstTokenMs: -1,
  totalMs: 0,
  tokens: 0,
};

/**
 * The permit expired before its call was sent, as after a suspension of this
 * process or a slow connection to the upstream.
 */
class PermitExpiredError extends TillerError {
  constructor() {
    super(ErrorKind.Overloaded, "the permit expired before the call began");
    this.name = "PermitExpiredError";
  }
}

/** Throws if the claim has expired, as after a suspension of this process. */
function checkClaim(claim: Claim | undefined): void {
  if (!claim || claim.isValid()) return;
  throw new TillerError(
    ErrorKind.ClaimUnavailable,
    "the check of the idempotency key expired before the call was sent; " +
      "send it again with the same key",
  );
}

/**
 * Address of an upstream. The current document takes precedence, as an upstream
 * may have been added or have moved since the call was classified; the call's
 * document still has one that was removed since.
 */
function addressOf(call: Call, upstream: string, view: FleetView): string {
  const document = view.documentOf(call.document.service) ?? call.document;
  const entry = document.upstreams[upstream] ??
    call.document.upstreams[upstream];
  if (entry) return entry.address;
  throw new TillerError(
    ErrorKind.NoUpstream,
    `upstream "${upstream}" was removed before the call was sent; retry later`,
  );
}

function isRetryable(
  call: Call,
  result: AttemptResult,
  response: ServerResponse,
): boolean {
  if (response.headersSent || response.destroyed) return false;
  if (NOT_RUN_OUTCOMES.has(result.outcome)) return true;
  return MAY_HAVE_RUN_OUTCOMES.has(result.outcome) && isRepeatable(call);
}
