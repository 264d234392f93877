import type { RouterMetrics } from "./create_router_metrics.ts";
import { LogEvent } from "./enums.ts";
import type { EventLog } from "./event_log.ts";
import { isRetryable } from "./create_send_history.ts";
import type { RequestState } from "./request_state.ts";

/** Where a request is sent again. */
export interface RepeatedSend {
  /** Identifier of the upstream, or host of the VM. */
  to: string;
  /** Backup copy from which the run goes on; undefined for a new run. */
  copy: string | undefined;
}

/** Log and metrics of the router, as far as sends are reported to them. */
export interface SendReport {
  log: Pick<EventLog, "info">;
  metrics: Pick<RouterMetrics, "onRepeatedSend">;
}

/**
 * Logs and counts a send of a request of which an earlier send may have been
 * executed; to be called just before the send is added to its history.
 */
export function reportRepeatedSend(
  state: RequestState,
  send: RepeatedSend & { report: SendReport },
): void {
  const possibleRuns = state.sendHistory.possibleRuns();
  if (possibleRuns === 0) return;
  const { to, copy, report } = send;
  const { route, stream } = state;
  report.log.info(LogEvent.SentAgain, {
    id: state.id,
    to,
    copy,
    route: route.name,
    kind: route.kind,
    canRetry: isRetryable(route),
    sends: state.sendHistory.count(),
    possibleRuns,
    lastEventId: stream.lastEventId,
  });
  report.metrics.onRepeatedSend(route.kind, copy !== undefined);
}
