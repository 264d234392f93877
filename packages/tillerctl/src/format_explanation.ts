import type { RequestClass } from "@rosemarytiller/document";
import type {
  ClassEvaluation,
  Explanation,
  PoolEvaluation,
  UpstreamEvaluation,
} from "./explain_request.ts";

/** Formats an explanation as human-readable text. */
export function formatExplanation(explanation: Explanation): string {
  const { service, client, target, from, requestClass } = explanation;
  const lines = [
    `Request of client ${client} for ${target} of service ${service}, at an entry in ${from}.`,
    "",
    "Classes, in the document's order; the first that matches is taken:",
    ...explanation.classes.map(formatClass),
  ];
  if (requestClass) {
    lines.push("", `Class ${requestClass.name}:`, ...formatRules(requestClass));
    lines.push("", "Pools, in the order in which they are asked:");
    lines.push(...explanation.pools.flatMap(formatPoolEvaluation));
  }
  const { refusal } = explanation;
  lines.push("", refusal ? `Refused: ${refusal}.` : "Served.", "");
  return lines.join("\n");
}

function formatClass({ name, taken, reason }: ClassEvaluation): string {
  return `  ${taken ? "taken " : "passed"}  ${name}: ${reason}`;
}

/** Formats the rules of a class. A pool's starts are the permits it grants. */
function formatRules(requestClass: RequestClass): string[] {
  const { tier, firstTokenMs, betweenTokensMs, queueMs } = requestClass;
  const { totalMs, floorShare, idempotent } = requestClass;
  return [
    `  tier ${tier} (1 goes first); at least ${floorShare} of a pool's starts`,
    `  targets: first token within ${firstTokenMs} ms, ${betweenTokensMs} ms between tokens`,
    `  refused after a wait of ${queueMs} ms; ends after ${totalMs} ms`,
    idempotent
      ? "  idempotent: a broken call may be sent again"
      : "  not idempotent: a request is sent at most once",
  ];
}

function formatPoolEvaluation(evaluation: PoolEvaluation): string[] {
  const { pool, place, reason, upstreams } = evaluation;
  const head = place > 0
    ? `  ${place}. ${pool}: ${reason}`
    : `  -  ${pool}: not asked, ${reason}`;
  return [head, ...upstreams.map(formatUpstream)];
}

function formatUpstream(evaluation: UpstreamEvaluation): string {
  const { name, usable, reason, coldConcurrent, maxConcurrent } = evaluation;
  const limits = `${coldConcurrent} calls when cold, ${maxConcurrent} at most`;
  return `       ${name}: ${usable ? limits : reason}`;
}
