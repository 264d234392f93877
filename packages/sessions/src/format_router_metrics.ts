import { createRouterMetrics } from "@rosemarytiller/router";

/** Heading of the generated part of docs/METRICS.md. */
export const ROUTER_METRICS_HEADING = "## Metrics of a router";

const INTRODUCTION = `A router on the users' machines serves its metrics in the
Prometheus text format at \`/metrics\` of its settings (\`metrics\`). This part is
written by \`npm run metrics\`; times are in seconds.`;

/** Label that a Prometheus histogram adds for its buckets. */
const BUCKET_LABEL = "le";

/**
 * Formats the router's part of docs/METRICS.md with its heading. `npm run
 * metrics` writes it.
 */
export async function formatRouterMetrics(): Promise<string> {
  const metrics = createRouterMetrics({
    openRequests: () => 0,
    queuedRequests: () => 0,
    openConnections: () => 0,
    presentVms: () => 0,
    revision: () => 0,
    era: () => 0,
    droppedLines: () => 0,
    sharedFacts: () => 0,
    droppedFacts: () => 0,
    limitedUpstreams: () => 0,
    openRelays: () => 0,
    lostServices: () => 0,
    intakeBytes: () => 0,
    responseBytes: () => 0,
    callerConnections: () => 0,
    contendedPools: () => 0,
  }, { loadAfterMs: 0 });
  const rows: string[] = [];
  for (const { name, type, help, labels } of await metrics.list()) {
    const names = labels.filter((label) => label !== BUCKET_LABEL)
      .map((label) => `\`${label}\``).join(", ");
    rows.push(`| \`${name}\` | ${type} | ${names} | ${help} |`);
  }
  return [
    ROUTER_METRICS_HEADING,
    "",
    INTRODUCTION,
    "",
    "| Name | Type | Labels | Meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
